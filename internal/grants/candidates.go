package grants

import (
	"time"

	"github.com/samber/lo"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/pool"
)

// candidates are the targets that a request of this entry may be sent to.
type candidates struct {
	all       []fleetstate.Target // usable by the fleet state
	preferred []fleetstate.Target // those that take requests of this entry now, of its own region if there are any
	avoided   []string            // ids of those that do not
	regions   int
}

// candidateTargets returns the candidates of a service. It fails if there are
// targets, but none wants a request of this entry now.
func (b *Broker) candidateTargets(service string) (candidates, error) {
	c := candidates{all: b.options.View().UsableTargets(service), regions: len(lo.Uniq(lo.Values(b.options.Regions)))}
	if b.options.Advice.IsEmpty() {
		c.preferred = b.preferOwnRegion(c.all)
		return c, nil
	}
	var allowed []fleetstate.Target
	for _, t := range c.all {
		if b.options.Advice.Allows(t) {
			allowed = append(allowed, t)
		} else {
			c.avoided = append(c.avoided, t.ID)
		}
	}
	if len(allowed) == 0 && len(c.all) > 0 {
		return c, b.noneAllowed(c.all)
	}
	c.preferred = b.preferOwnRegion(allowed)
	return c, nil
}

func (b *Broker) preferOwnRegion(targets []fleetstate.Target) []fleetstate.Target {
	own := lo.Filter(targets, func(t fleetstate.Target, _ int) bool { return b.isInOwnRegion(t.DataCentre) })
	if len(own) == 0 {
		return targets
	}
	return own
}

// noneAllowed returns the error for a service none of whose targets wants a
// request of this entry now.
func (b *Broker) noneAllowed(targets []fleetstate.Target) error {
	first := time.Duration(0)
	for _, t := range targets {
		wait := b.options.Advice.PostponedFor(t)
		if !b.options.Advice.IsLeaving(t) && wait > 0 && (first == 0 || wait < first) {
			first = wait
		}
	}
	if first == 0 {
		return pool.ErrNoTarget
	}
	return &PostponedError{RetryAfter: first}
}
