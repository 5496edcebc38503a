package entry

import "github.com/prometheus/client_golang/prometheus"

// metrics are the Prometheus collectors of a Server.
type metrics struct {
	served            *prometheus.CounterVec
	refused           *prometheus.CounterVec
	tokens            *prometheus.CounterVec
	firstTokenSeconds *prometheus.HistogramVec
	queueWaitSeconds  prometheus.Histogram
}

// newMetrics creates the collectors and registers them with r unless it is nil.
func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vane_requests_served_total", Help: "Requests answered in full, by workspace.",
		}, []string{"workspace"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vane_requests_refused_total", Help: "Requests refused, by reason and execution.",
		}, []string{"reason", "execution"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vane_tokens_total", Help: "Tokens of answered requests, by kind.",
		}, []string{"kind"}),
		firstTokenSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "vane_first_token_seconds", Help: "Time from arrival to the first token, by class.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 16),
		}, []string{"class"}),
		queueWaitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "vane_queue_wait_seconds", Help: "Time that requests waited for a fair turn.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
	}
	if r != nil {
		r.MustRegister(m.served, m.refused, m.tokens, m.firstTokenSeconds, m.queueWaitSeconds)
	}
	return m
}
