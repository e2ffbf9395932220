package fleetstate

import (
	"maps"
	"slices"
)

func (s *state) version() uint64 {
	if s.Held.Document == nil {
		return 0
	}
	return s.Held.Document.Version
}

func (s *state) apply(index uint64, c Command) {
	s.Index = index
	if c.Document != nil && (s.Held.Document == nil || c.Document.Version > s.version()) {
		s.Held = Held{Document: c.Document, Text: c.Text, Changed: index}
	}
	for _, t := range c.Targets {
		s.announce(index, t)
	}
	for _, e := range c.Entries {
		s.placeEntry(index, e)
	}
	for _, m := range c.Members {
		m.Changed = index
		s.Members[m.PeerAddress] = m
	}
	for _, address := range c.Departed {
		if _, ok := s.Members[address]; ok {
			delete(s.Members, address)
			s.Floor = index
		}
	}
	if len(c.Targets) > 0 {
		s.forgetGone()
	}
}

// Supersedes reports whether the announcement says something newer of its
// target than the record. A target that drains or has gone stays so for the
// life of its incarnation, so a late announcement does not bring it back.
func (t Target) Supersedes(record Target) bool {
	if t.Born != record.Born {
		return t.Born > record.Born
	}
	return rank(t.State) > rank(record.State) || t.State == record.State && t.differs(record)
}

func (t Target) differs(record Target) bool {
	return t.Sequence > record.Sequence && (t.Service != record.Service || t.Address != record.Address ||
		t.DataCentre != record.DataCentre || t.Slots != record.Slots)
}

func rank(s TargetState) int {
	switch s {
	case Ready:
		return 0
	case Draining:
		return 1
	default:
		return 2
	}
}

func (s *state) announce(index uint64, t Target) {
	if record, ok := s.Targets[t.ID]; ok {
		if t.State == Gone && t.Born == 0 {
			t.Born = record.Born // the target that leaves did not say when it started
		}
		if !t.Supersedes(record) {
			return
		}
		if t.State == Gone && t.Address == "" {
			t.Service, t.Address, t.DataCentre, t.Slots = record.Service, record.Address, record.DataCentre, record.Slots
		}
	}
	if t.State != Gone && !s.claimAddress(index, t) {
		return
	}
	t.Changed = index
	s.setTarget(t)
}

// setTarget replaces the record of the target.
func (s *state) setTarget(t Target) {
	if before, ok := s.Targets[t.ID]; ok && s.holders[before.Address] == t.ID {
		delete(s.holders, before.Address)
	}
	s.Targets[t.ID] = t
	if t.State != Gone {
		s.holders[t.Address] = t.ID
	}
}

func (s *state) indexHolders() {
	s.holders = map[string]string{}
	for _, t := range s.Targets {
		if t.State != Gone {
			s.holders[t.Address] = t.ID
		}
	}
}

// claimAddress ends an older target at the address of t. It returns false if a
// younger one holds the address, so that t is a late announcement.
func (s *state) claimAddress(index uint64, t Target) bool {
	holder, ok := s.at(t.Address)
	if !ok || holder.ID == t.ID {
		return true
	}
	if holder.Born > t.Born {
		return false
	}
	holder.State = Gone
	holder.Changed = index
	s.setTarget(holder)
	return true
}

// at returns the target at the address that is not gone. There is one at most.
func (s *state) at(address string) (Target, bool) {
	id, ok := s.holders[address]
	return s.Targets[id], ok
}

// placeEntry takes in the record of an entry. Of two incarnations the later
// one counts; a loss counts only if the entry did not turn to another member.
func (s *state) placeEntry(index uint64, e Entry) {
	record, ok := s.Entries[e.Name]
	if ok && e.Incarnation < record.Incarnation {
		return
	}
	if ok && e.State == Lost && (e.Incarnation != record.Incarnation || e.Via != record.Via) {
		return
	}
	e.Changed = index
	s.Entries[e.Name] = e
}

// forgetGone drops the targets that ended first. Copies from before the drop
// need the whole state.
func (s *state) forgetGone() {
	var gone []Target
	for _, t := range s.Targets {
		if t.State == Gone {
			gone = append(gone, t)
		}
	}
	if len(gone) <= maxGone {
		return
	}
	slices.SortFunc(gone, func(a, b Target) int { return int(int64(a.Changed) - int64(b.Changed)) })
	drop := gone[:len(gone)-maxGone/2]
	s.Floor = max(s.Floor, drop[len(drop)-1].Changed)
	forgotten := map[string]bool{}
	for _, t := range drop {
		forgotten[t.ID] = true
	}
	maps.DeleteFunc(s.Targets, func(id string, _ Target) bool { return forgotten[id] })
}
