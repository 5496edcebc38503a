package store

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	vane "mustardvane.org/vane"
)

// Metrics counts the calls to the platform and measures their durations.
type Metrics struct{ m *metrics }

// metrics holds the Prometheus collectors.
type metrics struct {
	calls    *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	restores prometheus.Gauge
}

// NewMetrics registers the collectors with r. It panics if they are registered
// already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := newMetrics()
	r.MustRegister(m.calls, m.seconds, m.restores)
	return &Metrics{m: m}
}

func newMetrics() *metrics {
	return &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vane_platform_calls_total",
			Help: "Calls to the platform by operation and outcome.",
		}, []string{"op", "outcome"}),
		restores: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "vane_platform_restores",
			Help: "How often the platform's store has come back from a copy, as it states.",
		}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "vane_platform_call_seconds",
			Help:    "Duration of calls to the platform.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}, []string{"op"}),
	}
}

// observe counts one call and records its duration. Durations of watches are left
// out, since they consist mostly of waiting.
func (m *metrics) observe(op string, resp *Response, err error, d time.Duration) {
	outcome := "ok"
	switch {
	case err != nil:
		outcome = vane.KindOf(err).String()
	case resp.Status == 404:
		outcome = vane.KindNotFound.String()
	case resp.Status == 409, resp.Status == 412:
		outcome = vane.KindConflict.String()
	}
	m.calls.WithLabelValues(op, outcome).Inc()
	if op != opWatch {
		m.seconds.WithLabelValues(op).Observe(d.Seconds())
	}
}
