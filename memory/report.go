package memory

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// logPeriod is the shortest time between two log lines of a kind.
const logPeriod = 5 * time.Second

// logger writes log lines at a limited rate. Its zero value writes none.
type logger struct {
	write func(msg string, args ...any)

	mu      sync.Mutex
	last    map[string]time.Time // by kind of line
	skipped map[string]int
}

// warn writes a line, unless one of its kind was written within logPeriod. The next one states how
// many were left out.
func (l *logger) warn(now time.Time, kind, msg string, args ...any) {
	if l.write == nil {
		return
	}
	l.mu.Lock()
	if at, ok := l.last[kind]; ok && now.Sub(at) < logPeriod {
		l.skipped[kind]++
		l.mu.Unlock()
		return
	}
	if l.last == nil {
		l.last, l.skipped = make(map[string]time.Time), make(map[string]int)
	}
	skipped := l.skipped[kind]
	l.last[kind], l.skipped[kind] = now, 0
	l.mu.Unlock()
	l.write(msg, append(args, "not_logged", skipped)...)
}

// WithLog sets the function that writes log lines: a message, then names and values in turn.
func WithLog(write func(msg string, args ...any)) Option {
	return func(b *Budget) { b.log.write = write }
}

// metrics are the collectors of a budget and its listeners.
type metrics struct {
	capacity, used     prometheus.Gauge
	refused            *prometheus.CounterVec
	connections, limit *prometheus.GaugeVec
	closed             *prometheus.CounterVec
}

// WithMetrics registers the collectors of the budget and its listeners. It must be used for one
// budget of a registerer only.
func WithMetrics(r prometheus.Registerer) Option {
	gauge := func(name, help string) prometheus.GaugeOpts { return prometheus.GaugeOpts{Name: name, Help: help} }
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Name: name, Help: help}
	}
	m := &metrics{
		capacity:    prometheus.NewGauge(gauge("vane_memory_capacity_bytes", "Bytes that may be held for callers and upstreams.")),
		used:        prometheus.NewGauge(gauge("vane_memory_held_bytes", "Bytes that are held for callers and upstreams.")),
		refused:     prometheus.NewCounterVec(counter("vane_memory_refused_total", "Holds that were refused or evicted, by kind and cause."), []string{"kind", "cause"}),
		connections: prometheus.NewGaugeVec(gauge("vane_connections", "Open connections, by listener."), []string{"listener"}),
		limit:       prometheus.NewGaugeVec(gauge("vane_connections_limit", "Greatest number of open connections, by listener."), []string{"listener"}),
		closed:      prometheus.NewCounterVec(counter("vane_connections_closed_total", "Connections that the node closed, by listener and cause."), []string{"listener", "cause"}),
	}
	return func(b *Budget) {
		if r == nil {
			return
		}
		r.MustRegister(m.capacity, m.used, m.refused, m.connections, m.limit, m.closed)
		b.metrics = m
	}
}

// countRefused counts and logs a hold that was refused or evicted.
func (b *Budget) countRefused(cause string, c Class) {
	if b.metrics != nil {
		b.metrics.refused.WithLabelValues(c.Kind.String(), cause).Inc()
	}
	b.log.warn(b.now(), c.Kind.String()+cause, "memory refused", "kind", c.Kind.String(), "cause", cause, "priority", c.Priority, "capacity", b.capacity)
}
