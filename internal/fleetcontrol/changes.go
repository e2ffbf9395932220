package fleetcontrol

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/routing"
)

// PutDocument commits a routing document with its original text and returns the
// version in force afterwards. A version that is not higher than the current
// one is accepted without effect. The error is a validation error or
// ErrUnavailable.
func (m *Member) PutDocument(ctx context.Context, d *routing.Document, text []byte) (current uint64, err error) {
	started := m.clock.Now()
	if err := d.Validate(); err != nil {
		m.counters.documentsRefused.Inc()
		m.log.Info("routing document rejected", zap.Uint64("version", d.Version), zap.Error(err))
		return 0, err
	}
	result, err := propose(ctx, m.group, m.clock, fleetstate.Command{Document: d, Text: text})
	took := m.clock.Now().Sub(started)
	if err != nil {
		m.counters.unavailable.Inc()
		m.log.Warn("routing document not committed", zap.Uint64("version", d.Version), zap.Duration("took", took), zap.Error(err))
		return 0, err
	}
	m.counters.documents.Inc()
	m.counters.commitTime.Update(took.Seconds())
	m.log.Info("routing document accepted", zap.Uint64("version", d.Version), zap.Uint64("held", result.Version), zap.Duration("took", took))
	return result.Version, nil
}

// Document returns the newest committed document. It fails if the member cannot
// confirm with the group that its copy is the newest, or with ErrNoDocument.
func (m *Member) Document(ctx context.Context) (fleetstate.Routing, error) {
	if err := m.group.ReadBarrier(ctx); err != nil {
		m.counters.unavailable.Inc()
		m.log.Warn("routing document not read", zap.Error(err))
		return fleetstate.Routing{}, err
	}
	current := m.stateMachine.Routing()
	if current.Document == nil {
		return current, ErrNoDocument
	}
	return current, nil
}

// Announce records an announcement of a target. It returns once the change is
// committed, or at once if the announcement is not newer than the record.
func (m *Member) Announce(ctx context.Context, t fleetstate.Target) error {
	m.counters.announcements.Inc()
	if !m.knowsService(t.Service) {
		return ErrUnknownService
	}
	record, ok := m.stateMachine.Target(t.ID)
	if ok && !t.Supersedes(record) {
		return nil
	}
	if other, taken := m.stateMachine.TargetAt(t.Address); taken && other.ID != t.ID && other.StartedAtMS > t.StartedAtMS {
		m.log.Info("late announcement ignored", zap.String("target", t.ID), zap.String("address", t.Address), zap.String("holder", other.ID))
		return nil
	}
	return m.commitTarget(ctx, t)
}

// knowsService reports whether the routing document lists the service. Before the
// first document any service may be announced.
func (m *Member) knowsService(service string) bool {
	d := m.stateMachine.Routing().Document
	return d == nil || slices.ContainsFunc(d.Services, func(s routing.Service) bool { return s.Name == service })
}

// Leave records that a target has left. startedAtMS is the start of the
// departing incarnation in Unix milliseconds; 0 means the recorded one.
func (m *Member) Leave(ctx context.Context, id string, startedAtMS int64) error {
	m.counters.leaves.Inc()
	record, ok := m.stateMachine.Target(id)
	if ok && record.State == fleetstate.Gone && (startedAtMS == 0 || record.StartedAtMS >= startedAtMS) {
		return nil
	}
	if !ok && startedAtMS == 0 {
		return ErrUnknownTarget
	}
	return m.commitTarget(ctx, fleetstate.Target{ID: id, State: fleetstate.Gone, StartedAtMS: startedAtMS})
}

// commitTarget commits the record of a target.
func (m *Member) commitTarget(ctx context.Context, t fleetstate.Target) error {
	started := m.clock.Now()
	_, err := m.batch.submit(ctx, fleetstate.Command{Targets: []fleetstate.Target{t}})
	took := m.clock.Now().Sub(started)
	fields := []zap.Field{
		zap.String("target", t.ID), zap.String("service", t.Service), zap.String("address", t.Address), zap.String("data_centre", t.DataCentre),
		zap.String("state", string(t.State)), zap.Int64("born", t.StartedAtMS), zap.Uint64("sequence", t.Sequence), zap.Duration("took", took),
	}
	if err != nil {
		m.counters.unavailable.Inc()
		m.log.Warn("target not recorded", append(fields, zap.Error(err))...)
		return err
	}
	m.counters.commitTime.Update(took.Seconds())
	m.log.Info("target recorded", fields...)
	return nil
}
