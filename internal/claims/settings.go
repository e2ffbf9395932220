package claims

import (
	"encoding/binary"
	"regexp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoialane/sequoialane/internal/settings"
)

// GroupSettings describes a claim group. The list of groups is the same on all
// entries.
type GroupSettings struct {
	Name    string           `json:"name"`    // part of URLs
	Region  string           `json:"region"`  // home region of the plans whose claims the group stores
	Members []MemberSettings `json:"members"` // an odd number; 5 for a region with two data centres
}

// MemberSettings describes an entry that is a member of a claim group.
type MemberSettings struct {
	Name    string `json:"name"`    // name of the entry
	Address string `json:"address"` // IP address and port where it listens for other entries
}

// HasMember reports whether the entry is a member of the group.
func (g GroupSettings) HasMember(entry string) bool {
	return slices.ContainsFunc(g.Members, func(m MemberSettings) bool { return m.Name == entry })
}

// CheckGroups reports invalid settings in the list of groups.
func CheckGroups(report settings.Report, field string, groups []GroupSettings) {
	names := map[string]bool{}
	for _, g := range groups {
		if !groupName.MatchString(g.Name) || names[g.Name] {
			report(field, g.Name, "want a unique claim group name of letters, digits, - and _")
		}
		names[g.Name] = true
		if g.Region == "" {
			report(field, g.Name, "want a region for the claim group")
		}
		checkMembers(report, field, g)
	}
}

// groupName matches group names that can be part of a URL path.
var groupName = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

func checkMembers(report settings.Report, field string, g GroupSettings) {
	if len(g.Members)%2 == 0 {
		report(field, g.Name, "want an odd number of members")
	}
	seen := map[string]bool{}
	for _, m := range g.Members {
		if m.Name == "" || seen[m.Name] {
			report(field, m.Name, "want a member name that is unique in the claim group")
		}
		seen[m.Name] = true
		settings.RequireAddress(report, field, m.Address)
	}
}

// groupForKey selects the group that stores the claims of a key by rendezvous
// hashing over the groups of the plan's home region, or over all groups if
// homeRegion is empty.
func groupForKey(groups []GroupSettings, homeRegion, plan string, key Key) (GroupSettings, bool) {
	return groupWithHighestHash(groups, homeRegion, plan+"\x00"+string(key.ID[:]))
}

// groupForLease selects the group of a region that grants a lease.
func groupForLease(groups []GroupSettings, region, name string) (GroupSettings, bool) {
	return groupWithHighestHash(groups, region, name)
}

func groupWithHighestHash(groups []GroupSettings, region, subject string) (best GroupSettings, found bool) {
	var bestHash uint64
	for _, g := range groups {
		if region != "" && g.Region != region {
			continue
		}
		hash := rendezvousHash(g.Name, subject)
		if !found || hash > bestHash || hash == bestHash && g.Name < best.Name {
			best, bestHash, found = g, hash, true
		}
	}
	return best, found
}

// rendezvousHash must depend on its arguments only, because all entries must
// choose the same group.
func rendezvousHash(group, subject string) uint64 {
	d := xxhash.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(group)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(group)
	_, _ = d.WriteString(subject)
	return d.Sum64()
}
