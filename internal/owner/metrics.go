package owner

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sequoialane/sequoialane/internal/fault"
)

// serviceMetrics holds the metrics of one service and region.
type serviceMetrics struct {
	labels            string
	outcomes          map[OutcomeKind]*metrics.Counter // guarded by Service.mu
	submitted         *metrics.Counter
	granted           *metrics.Counter
	retries           *metrics.Counter
	hedges            *metrics.Counter
	retriesOverBudget *metrics.Counter
	probes            *metrics.Counter
	expired           *metrics.Counter
	leaving           *metrics.Counter
	postponed         *metrics.Counter
	queueWait         *metrics.Histogram
	slotTime          *metrics.Histogram
}

func newServiceMetrics(service, region string) *serviceMetrics {
	labels := fmt.Sprintf("service=%q,region=%q", service, region)
	counter := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf("sequoialane_owner_%s_total{%s}", name, labels))
	}
	histogram := func(name string) *metrics.Histogram {
		return metrics.GetOrCreateHistogram(fmt.Sprintf("sequoialane_owner_%s_seconds{%s}", name, labels))
	}
	return &serviceMetrics{
		labels:            labels,
		outcomes:          map[OutcomeKind]*metrics.Counter{},
		submitted:         counter("submitted"),
		granted:           counter("granted"),
		retries:           counter("retries"),
		hedges:            counter("hedges"),
		retriesOverBudget: counter("retries_over_budget"),
		probes:            counter("probes"),
		expired:           counter("targets_expired"),
		leaving:           counter("targets_leaving"),
		postponed:         counter("targets_postponed"),
		queueWait:         histogram("queue_wait"),
		slotTime:          histogram("slot"),
	}
}

func (m *serviceMetrics) counter(name, label, value string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("sequoialane_owner_%s_total{%s,%s=%q}", name, m.labels, label, value))
}

func (m *serviceMetrics) increment(name, label, value string) { m.counter(name, label, value).Inc() }

func (m *serviceMetrics) countOutcome(kind OutcomeKind) {
	c, ok := m.outcomes[kind]
	if !ok {
		c = m.counter("outcomes", "kind", string(kind))
		m.outcomes[kind] = c
	}
	c.Inc()
}

func (m *serviceMetrics) countRejection(kind fault.Kind) {
	m.increment("refused", "kind", string(kind))
}
func (m *serviceMetrics) countEjection(reason string) { m.increment("ejections", "reason", reason) }
func (m *serviceMetrics) countHealthChange(kind ActionKind) {
	m.increment("health_changes", "to", string(kind))
}
