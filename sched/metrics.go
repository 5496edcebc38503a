package sched

import (
	"github.com/prometheus/client_golang/prometheus"

	"mustardvane.org/vane/rates"
)

// Metrics are the Prometheus collectors of a [Placer]. A nil *Metrics records nothing.
type Metrics struct {
	estimateError *prometheus.HistogramVec
	rate          *prometheus.GaugeVec
}

// NewMetrics registers the collectors with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		estimateError: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "vane_sched_estimate_error",
			Help:    "Difference between the estimated and the measured time to the first token as a share of the objective, by service.",
			Buckets: []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5},
		}, []string{"service"}),
		rate: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "vane_sched_rate",
			Help: "Learned rates of upstreams, by service and by what is measured.",
		}, []string{"service", "rate"}),
	}
	r.MustRegister(m.estimateError, m.rate)
	return m
}

// WithMetrics makes the placer record its estimates and rates.
func WithMetrics(m *Metrics) Option { return func(p *Placer) { p.metrics = m } }

// observeError records the error of an estimate as a share of the objective.
func (m *Metrics) observeError(service string, share float64) {
	if m != nil {
		m.estimateError.WithLabelValues(service).Observe(share)
	}
}

// setRates records the rates of a service.
func (m *Metrics) setRates(service string, r rates.Rates, slowdown float64) {
	if m == nil {
		return
	}
	for name, v := range map[string]float64{
		"prefill_tokens_per_ms": r.PrefillPerMS, "base_ms": r.BaseMS, "running_ms": r.RunningMS, "waiting_ms": r.WaitingMS, "work_ms": r.WorkMS, "slowdown": slowdown,
	} {
		m.rate.WithLabelValues(service, name).Set(v)
	}
}
