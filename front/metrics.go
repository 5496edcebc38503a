package front

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
)

// Metrics are the Prometheus collectors of a [Handler].
type Metrics struct {
	refusals          *prometheus.CounterVec
	answers           *prometheus.CounterVec
	responseSeconds   *prometheus.HistogramVec
	firstEventSeconds *prometheus.HistogramVec
	pauseSeconds      *prometheus.HistogramVec
	waiting           *prometheus.GaugeVec
	notAdmitted       *prometheus.CounterVec
	waitSeconds       *prometheus.HistogramVec
	loadChecks        *prometheus.CounterVec
}

// NewMetrics registers the collectors with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vane_front_refused_total",
			Help: "Requests without a whole answer, by route and reason.",
		}, []string{"route", "reason"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vane_front_answers_total",
			Help: "Requests with a whole answer, by route and by how the upstream's response stated its end.",
		}, []string{"route", "framing"}),
		responseSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "vane_front_answer_seconds",
			Help:    "Time until the end of answers, by route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
		firstEventSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "vane_front_first_seconds",
			Help:    "Time until the first event of streams and the whole of other answers, by route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
		pauseSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "vane_front_pause_seconds",
			Help:    "Longest time between two events of whole streams, by route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "vane_front_waiting",
			Help: "Requests that wait at the node for upstreams, by service.",
		}, []string{"service"}),
		notAdmitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "vane_front_not_admitted_total",
			Help: "Requests refused for want of room at the upstreams, by service and cause.",
		}, []string{"service", "cause"}),
		waitSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "vane_front_wait_seconds",
			Help:    "Time that requests waited at the node until they were sent or refused, by service.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}, []string{"service"}),
	}
	m.loadChecks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "vane_front_load_checks_total",
		Help: "Upstreams that were asked for their load before a request was sent, by result.",
	}, []string{"result"})
	r.MustRegister(m.refusals, m.answers, m.responseSeconds, m.firstEventSeconds, m.pauseSeconds, m.loadChecks, m.waiting, m.notAdmitted, m.waitSeconds)
	return m
}

// countLoadCheck counts an upstream that was asked for its load.
func (m *Metrics) countLoadCheck(result string) { m.loadChecks.WithLabelValues(result).Inc() }

// countRefused counts a request that got no complete response.
func (m *Metrics) countRefused(route string, reason vane.Reason) {
	m.refusals.WithLabelValues(route, reason.String()).Inc()
}

// countAnswer counts a request whose response was relayed to its end.
func (m *Metrics) countAnswer(route string, f conns.Framing) {
	m.answers.WithLabelValues(route, f.String()).Inc()
}

// observeServed records the durations of a request from its arrival: d until the end
// of the response, first until the first event of a stream. For a response that is not
// streamed, first equals d.
func (m *Metrics) observeServed(route string, d, first time.Duration) {
	m.responseSeconds.WithLabelValues(route).Observe(d.Seconds())
	m.firstEventSeconds.WithLabelValues(route).Observe(first.Seconds())
}

// observePause records the longest time between two events of a stream.
func (m *Metrics) observePause(route string, d time.Duration) {
	m.pauseSeconds.WithLabelValues(route).Observe(d.Seconds())
}
