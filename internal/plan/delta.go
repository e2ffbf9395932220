package plan

import (
	"errors"
	"fmt"
)

// Delta turns a catalog at version From or later into the one at version To.
// Records are complete, so a delta may be applied to any version between. A
// full delta replaces the whole catalog, whatever its version.
type Delta struct {
	Full    bool
	From    uint64
	To      uint64
	Digest  uint64 // of the catalog at To
	Records []*Record
	Removed []string
}

// minFullCopyPlans is the number of changed plans up to which a delta is sent
// even if it holds most of the catalog.
const minFullCopyPlans = 100

// Errors of applying a delta. The remedy for all of them is a full delta,
// except for ErrLowerVersion.
var (
	ErrLowerVersion = errors.New("plan: delta leads to a lower version")
	ErrDeltaBase    = errors.New("plan: delta starts after the version of the copy")
	ErrDeltaDigest  = errors.New("plan: digest differs after applying the delta")
	ErrDeltaInvalid = errors.New("plan: delta breaks a rule of the lists")
)

// FullDelta returns a delta that holds the whole catalog, in order of the plan
// id: equal beginnings of neighbours make it 7% smaller when compressed.
func (s *Snapshot) FullDelta() Delta {
	return Delta{Full: true, To: s.version, Digest: s.digest, Records: s.Records()}
}

// deltaSince returns the changes after the version, or a full copy if the
// history does not reach back, or if most of the catalog has changed.
func (s *Snapshot) deltaSince(version uint64, h *History) Delta {
	if version >= s.version {
		return Delta{From: s.version, To: s.version, Digest: s.digest}
	}
	ids, complete := h.since(version)
	if !complete || (len(ids) > minFullCopyPlans && 2*len(ids) > s.planCount) {
		return s.FullDelta()
	}
	d := Delta{From: version, To: s.version, Digest: s.digest}
	for _, id := range ids {
		if r, found := s.Record(id); found {
			d.Records = append(d.Records, r)
			continue
		}
		d.Removed = append(d.Removed, id)
	}
	return d
}

// Apply returns the catalog that the delta leads to.
func (s *Snapshot) Apply(d Delta) (*Snapshot, error) {
	base := s
	if d.Full {
		base = Empty()
	}
	if d.To < s.version {
		return nil, fmt.Errorf("%w: from %d to %d", ErrLowerVersion, s.version, d.To)
	}
	if base.version < d.From {
		return nil, fmt.Errorf("%w: %d < %d", ErrDeltaBase, base.version, d.From)
	}
	for _, r := range d.Records {
		if err := r.check(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDeltaInvalid, err)
		}
	}
	next, err := base.replace(d.To, d.Records, d.Removed)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDeltaInvalid, err)
	}
	if next.digest != d.Digest {
		return nil, fmt.Errorf("%w: version %d", ErrDeltaDigest, d.To)
	}
	return next, nil
}

// changed returns the ids that the delta names.
func (d *Delta) changed() []string {
	ids := make([]string, 0, len(d.Records)+len(d.Removed))
	for _, r := range d.Records {
		ids = append(ids, r.Plan.ID)
	}
	return append(ids, d.Removed...)
}
