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
	Region  string           `json:"region"`  // home region of the plans whose claims it keeps
	Members []MemberSettings `json:"members"` // an odd number; 5 for a region of two data centres
}

// MemberSettings names an entry that is a member of a claim group.
type MemberSettings struct {
	Name    string `json:"name"`    // name of the entry
	Address string `json:"address"` // IP address and port where it listens for other entries
}

// Has reports whether the entry is a member of the group.
func (g GroupSettings) Has(entry string) bool {
	return slices.ContainsFunc(g.Members, func(m MemberSettings) bool { return m.Name == entry })
}

// CheckGroups reports faults in the list of groups.
func CheckGroups(report settings.Report, field string, groups []GroupSettings) {
	names := map[string]bool{}
	for _, g := range groups {
		if !groupName.MatchString(g.Name) || names[g.Name] {
			report(field, g.Name, "want a name of letters, digits, - and _ that no other claim group has")
		}
		names[g.Name] = true
		if g.Region == "" {
			report(field, g.Name, "want a region for the claim group")
		}
		checkMembers(report, field, g)
	}
}

// groupName keeps group names usable as part of a URL path.
var groupName = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

func checkMembers(report settings.Report, field string, g GroupSettings) {
	if len(g.Members)%2 == 0 {
		report(field, g.Name, "want an odd number of members")
	}
	seen := map[string]bool{}
	for _, m := range g.Members {
		if m.Name == "" || seen[m.Name] {
			report(field, m.Name, "want a name that no other member of the claim group has")
		}
		seen[m.Name] = true
		settings.RequireAddress(report, field, m.Address)
	}
}

// groupOfKey chooses the group that keeps the claims of a key: the group with
// the highest hash among those of the plan's home region, or among all if the
// plan has none.
func groupOfKey(groups []GroupSettings, homeRegion, plan string, key Key) (GroupSettings, bool) {
	return highest(groups, homeRegion, plan+"\x00"+string(key.ID[:]))
}

// groupOfLease chooses the group of a region that grants a lease.
func groupOfLease(groups []GroupSettings, region, name string) (GroupSettings, bool) {
	return highest(groups, region, name)
}

func highest(groups []GroupSettings, region, subject string) (best GroupSettings, found bool) {
	var bestHash uint64
	for _, g := range groups {
		if region != "" && g.Region != region {
			continue
		}
		hash := hashOf(g.Name, subject)
		if !found || hash > bestHash || hash == bestHash && g.Name < best.Name {
			best, bestHash, found = g, hash, true
		}
	}
	return best, found
}

// hashOf is written to depend on nothing but its arguments, because all
// entries must choose the same group.
func hashOf(group, subject string) uint64 {
	d := xxhash.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(group)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(group)
	_, _ = d.WriteString(subject)
	return d.Sum64()
}
