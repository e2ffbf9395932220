package pool

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sequoialane/sequoialane/internal/workload"
)

// workloadMetrics are the metrics of the costs that a pool has learned. The pools of a
// service in one process share them.
type workloadMetrics struct {
	runTime              *metrics.Histogram
	routeError, keyError *metrics.FloatCounter // of the expectation by route, and by request
	keys                 *metrics.Gauge
	dropped              *metrics.Counter
	countedKeys          int
	countedDropped       uint64
}

func newWorkloadMetrics(service, region string) workloadMetrics {
	labels := `service="` + service + `",region="` + region + `"`
	return workloadMetrics{
		runTime:    metrics.GetOrCreateHistogram("sequoialane_workload_run_seconds{" + labels + "}"),
		routeError: metrics.GetOrCreateFloatCounter("sequoialane_workload_error_seconds_total{" + labels + `,expected_by="route"}`),
		keyError:   metrics.GetOrCreateFloatCounter("sequoialane_workload_error_seconds_total{" + labels + `,expected_by="request"}`),
		keys:       metrics.GetOrCreateGauge("sequoialane_workload_keys{"+labels+"}", nil),
		dropped:    metrics.GetOrCreateCounter("sequoialane_workload_keys_dropped_total{" + labels + "}"),
	}
}

// observe compares a run time with what was expected of it.
func (m *workloadMetrics) observe(ran time.Duration, expected workload.Cost, slowness float64) {
	m.runTime.Update(ran.Seconds())
	byRequest := expected.RunTime.Seconds() * slowness
	m.keyError.Add(math.Abs(ran.Seconds() - byRequest))
	m.routeError.Add(math.Abs(ran.Seconds() - byRequest/expected.Factor))
}

// count updates the number of keys.
func (m *workloadMetrics) count(model *workload.Model) {
	m.keys.Add(float64(model.Keys() - m.countedKeys))
	m.countedKeys = model.Keys()
	m.dropped.Add(int(model.Dropped() - m.countedDropped))
	m.countedDropped = model.Dropped()
}
