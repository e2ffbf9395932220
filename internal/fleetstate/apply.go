package fleetstate

import (
	"maps"
	"slices"
)

func (s *state) version() uint64 {
	if s.Routing.Document == nil {
		return 0
	}
	return s.Routing.Document.Version
}

func (s *state) apply(index uint64, c Command) {
	s.Index = index
	if c.Document != nil && (s.Routing.Document == nil || c.Document.Version > s.version()) {
		s.Routing = Routing{Document: c.Document, Text: c.Text, ChangeIndex: index}
	}
	for _, t := range c.Targets {
		s.applyTarget(index, t)
	}
	for _, e := range c.Entries {
		s.applyEntry(index, e)
	}
	for _, m := range c.Members {
		m.ChangeIndex = index
		s.Members[m.PeerAddress] = m
	}
	for _, address := range c.RemovedMembers {
		if _, ok := s.Members[address]; ok {
			delete(s.Members, address)
			s.CompactedIndex = index
		}
	}
	if len(c.Targets) > 0 {
		s.compactTombstones()
	}
}

// Supersedes reports whether the announcement t is newer than the record of the
// same target. Within an incarnation a target never returns from draining or
// gone, so a late announcement does not bring it back.
func (t Target) Supersedes(record Target) bool {
	if t.StartedAtMS != record.StartedAtMS {
		return t.StartedAtMS > record.StartedAtMS
	}
	return stateOrder(t.State) > stateOrder(record.State) || t.State == record.State && t.hasNewerDetails(record)
}

// hasNewerDetails reports whether t is a later announcement with other details.
func (t Target) hasNewerDetails(record Target) bool {
	return t.Sequence > record.Sequence && (t.Service != record.Service || t.Address != record.Address ||
		t.DataCentre != record.DataCentre || t.Slots != record.Slots)
}

// stateOrder returns the position of a state in the life of a target.
func stateOrder(s TargetState) int {
	switch s {
	case Ready:
		return 0
	case Draining:
		return 1
	default:
		return 2
	}
}

// applyTarget applies an announcement, or the departure of a target, which may
// state only its id.
func (s *state) applyTarget(index uint64, t Target) {
	if record, ok := s.Targets[t.ID]; ok {
		if t.State == Gone && t.StartedAtMS == 0 {
			t.StartedAtMS = record.StartedAtMS // the departing target did not state its start time
		}
		if !t.Supersedes(record) {
			return
		}
		if t.State == Gone && t.Address == "" {
			t.Service, t.Address, t.DataCentre, t.Slots = record.Service, record.Address, record.DataCentre, record.Slots
		}
	}
	if t.State != Gone && !s.takeAddress(index, t) {
		return
	}
	t.ChangeIndex = index
	s.setTarget(t)
}

// setTarget stores the record of a target and keeps targetAt up to date.
func (s *state) setTarget(t Target) {
	if before, ok := s.Targets[t.ID]; ok && s.targetAt[before.Address] == t.ID {
		delete(s.targetAt, before.Address)
	}
	s.Targets[t.ID] = t
	if t.State != Gone {
		s.targetAt[t.Address] = t.ID
	}
}

// indexAddresses builds targetAt after a snapshot is restored.
func (s *state) indexAddresses() {
	s.targetAt = map[string]string{}
	for _, t := range s.Targets {
		if t.State != Gone {
			s.targetAt[t.Address] = t.ID
		}
	}
}

// takeAddress marks an older target at the address of t as gone. It returns
// false if a target that started later has the address, so that t is a late
// announcement.
func (s *state) takeAddress(index uint64, t Target) bool {
	holder, ok := s.targetAtAddress(t.Address)
	if !ok || holder.ID == t.ID {
		return true
	}
	if holder.StartedAtMS > t.StartedAtMS {
		return false
	}
	holder.State = Gone
	holder.ChangeIndex = index
	s.setTarget(holder)
	return true
}

// targetAtAddress returns the target at the address that is not gone. There is at
// most one.
func (s *state) targetAtAddress(address string) (Target, bool) {
	id, ok := s.targetAt[address]
	return s.Targets[id], ok
}

// applyEntry stores the record of an entry. It ignores records of an earlier
// incarnation, and a loss that is reported by a member which the entry no longer
// polls.
func (s *state) applyEntry(index uint64, e Entry) {
	record, ok := s.Entries[e.Name]
	if ok && e.Incarnation < record.Incarnation {
		return
	}
	if ok && e.State == Lost && (e.Incarnation != record.Incarnation || e.ControlMember != record.ControlMember) {
		return
	}
	e.ChangeIndex = index
	s.Entries[e.Name] = e
}

// compactTombstones removes the oldest tombstones once there are more than
// maxTombstones. Copies older than a removed tombstone then need the whole state.
func (s *state) compactTombstones() {
	var gone []Target
	for _, t := range s.Targets {
		if t.State == Gone {
			gone = append(gone, t)
		}
	}
	if len(gone) <= maxTombstones {
		return
	}
	slices.SortFunc(gone, func(a, b Target) int { return int(int64(a.ChangeIndex) - int64(b.ChangeIndex)) })
	oldest := gone[:len(gone)-maxTombstones/2]
	s.CompactedIndex = max(s.CompactedIndex, oldest[len(oldest)-1].ChangeIndex)
	dropped := map[string]bool{}
	for _, t := range oldest {
		dropped[t.ID] = true
	}
	maps.DeleteFunc(s.Targets, func(id string, _ Target) bool { return dropped[id] })
}
