package front

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	vane "mustardvane.org/vane"
)

// Metrics count what happens to requests.
type Metrics struct {
	refusals *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	firsts   *prometheus.HistogramVec
}

// NewMetrics registers the collectors with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vane_front_refused_total",
			Help: "Requests without a whole answer, by route and reason.",
		}, []string{"route", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "vane_front_answer_seconds",
			Help:    "Time until the end of answers, by route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
		firsts: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "vane_front_first_seconds",
			Help:    "Time until the first event of streams and the whole of other answers, by route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
	}
	r.MustRegister(m.refusals, m.seconds, m.firsts)
	return m
}

// refused counts a request without a whole answer.
func (m *Metrics) refused(route string, reason vane.Reason) {
	m.refusals.WithLabelValues(route, reason.String()).Inc()
}

// served counts an answered request: the time until its end, and until its first event.
func (m *Metrics) served(route string, d, first time.Duration) {
	m.seconds.WithLabelValues(route).Observe(d.Seconds())
	m.firsts.WithLabelValues(route).Observe(first.Seconds())
}
