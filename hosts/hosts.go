package hosts

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
)

// Bounds of the tasks.
const (
	listEvery   = time.Second
	loadEvery   = time.Second
	loadTimeout = 500 * time.Millisecond
	maxPollers  = 16
)

// Directory is the service that keeps the upstreams.
type Directory struct {
	st     vane.Store
	placer vane.Placer
	rec    vane.Recorder
	http   *http.Client
	mine   func(upstream string) bool
	onLoad func(name string, incarnation uint64, l vane.Load)

	mu       sync.Mutex
	ups      []vane.Upstream
	draining map[string]uint64 // incarnation that announced it
	seen     map[string]uint64 // newest incarnation heard of
	next     int               // for taking plain services in turn
	loaded   bool
	onChange []func([]vane.Upstream)
}

// Option changes a directory under construction.
type Option func(*Directory)

// WithPollFilter sets which upstreams this node asks for their load; others are
// heard of from peers.
func WithPollFilter(mine func(upstream string) bool) Option {
	return func(d *Directory) { d.mine = mine }
}

// WithLoadFunc sets a function that is told each load report, to share it.
func WithLoadFunc(f func(name string, incarnation uint64, l vane.Load)) Option {
	return func(d *Directory) { d.onLoad = f }
}

// New returns a directory that feeds the placer.
func New(st vane.Store, placer vane.Placer, rec vane.Recorder, opts ...Option) *Directory {
	d := &Directory{
		st: st, placer: placer, rec: rec, draining: make(map[string]uint64), seen: make(map[string]uint64),
		http:   &http.Client{Timeout: loadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		mine:   func(string) bool { return true },
		onLoad: func(string, uint64, vane.Load) {},
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// OnChange registers f to be called with each new list. Register before Run.
func (d *Directory) OnChange(f func([]vane.Upstream)) { d.onChange = append(d.onChange, f) }

// Run polls the platform and the upstreams until ctx ends. It is ready after the
// first attempt, whether the platform answered or not.
func (d *Directory) Run(ctx context.Context, ready func()) error {
	defer d.http.CloseIdleConnections()
	var wg sync.WaitGroup
	wg.Go(func() { d.pollLoads(ctx) })
	defer wg.Wait()
	d.poll(ctx)
	ready()
	for clock.Sleep(ctx, clock.Jitter(listEvery)) {
		d.poll(ctx)
	}
	return nil
}

// poll reads the platform's list once.
func (d *Directory) poll(ctx context.Context) {
	ups, err := d.st.Hosts(ctx)
	if err != nil {
		return
	}
	d.SetUpstreams(ups)
}

// SetUpstreams replaces the list of upstreams, for example by one that a peer had.
func (d *Directory) SetUpstreams(ups []vane.Upstream) {
	d.mu.Lock()
	old := d.ups
	d.ups = d.correct(ups)
	d.loaded = d.loaded || len(ups) > 0
	now := d.ups
	fs := d.onChange
	d.mu.Unlock()
	if slices.Equal(old, now) {
		return
	}
	d.note(old, now)
	d.placer.Update(time.Now(), now)
	for _, f := range fs {
		f(now)
	}
}

// correct puts in what upstreams said about themselves since the platform made
// its list. The lock is held.
func (d *Directory) correct(ups []vane.Upstream) []vane.Upstream {
	out := make([]vane.Upstream, 0, len(ups))
	for _, u := range ups {
		if inc := d.seen[u.Name]; inc > u.Incarnation {
			u = u.WithIncarnation(inc)
		}
		if inc, ok := d.draining[u.Name]; ok && inc == u.Incarnation {
			u = u.WithState(vane.UpstreamLeaving)
		}
		out = append(out, u)
	}
	return out
}

// note records joins and leaves.
func (d *Directory) note(old, now []vane.Upstream) {
	for _, u := range now {
		if !slices.ContainsFunc(old, func(o vane.Upstream) bool { return o.Name == u.Name && o.Incarnation == u.Incarnation }) {
			d.rec.Record(vane.Event{Kind: vane.EventUpstreamJoined, Subject: u.Name, Observed: float64(u.Incarnation)})
		}
	}
	for _, o := range old {
		if !slices.ContainsFunc(now, func(u vane.Upstream) bool { return o.Name == u.Name }) {
			d.rec.Record(vane.Event{Kind: vane.EventUpstreamLeft, Subject: o.Name})
		}
	}
}

// All returns the list in use.
func (d *Directory) All() []vane.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ups
}

// Loaded says whether a list was ever received.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// Service returns the live instances of a plain service, each call beginning
// with another one.
func (d *Directory) Service(name string) []vane.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []vane.Upstream
	for _, u := range d.ups {
		if u.Role == vane.RoleService && u.Service == name && u.State == vane.UpstreamLive {
			out = append(out, u)
		}
	}
	if len(out) > 1 {
		d.next++
		k := d.next % len(out)
		out = append(out[k:len(out):len(out)], out[:k]...)
	}
	return out
}

// MarkDraining notes that the upstream announced its leaving.
func (d *Directory) MarkDraining(name string, incarnation uint64) {
	d.mu.Lock()
	known, ok := d.draining[name]
	d.draining[name] = incarnation
	ups := d.ups
	d.mu.Unlock()
	if ok && known == incarnation {
		return
	}
	d.rec.Record(vane.Event{Kind: vane.EventUpstreamDraining, Subject: name, Observed: float64(incarnation)})
	d.SetUpstreams(ups)
}

// ObserveIncarnation notes the incarnation that an upstream named on an answer. Incarnations
// of an upstream only ever rise.
func (d *Directory) ObserveIncarnation(name string, incarnation uint64) {
	d.mu.Lock()
	newer := incarnation > d.seen[name]
	if newer {
		d.seen[name] = incarnation
	}
	ups := d.ups
	d.mu.Unlock()
	if newer {
		d.SetUpstreams(ups)
	}
}

// report is the answer of GET /v1/load.
type report struct {
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Draining    bool   `json:"draining"`
	Incarnation uint64 `json:"incarnation"`
}

// pollLoads asks this node's share of the engines for their load.
func (d *Directory) pollLoads(ctx context.Context) {
	sem := make(chan struct{}, maxPollers)
	for clock.Sleep(ctx, clock.Jitter(loadEvery)) {
		var wg sync.WaitGroup
		for _, u := range d.All() {
			if u.Role != vane.RoleEngine || !d.mine(u.Name) {
				continue
			}
			sem <- struct{}{}
			wg.Go(func() {
				defer func() { <-sem }()
				d.askLoad(ctx, u)
			})
		}
		wg.Wait()
	}
}

// askLoad reads one engine's load report.
func (d *Directory) askLoad(ctx context.Context, u vane.Upstream) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Addr+"/v1/load", nil)
	if err != nil {
		return
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var r report
	if json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&r) != nil {
		return
	}
	d.ObserveIncarnation(u.Name, r.Incarnation)
	l := vane.Load{Running: r.Running, Waiting: r.Waiting, Draining: r.Draining}
	d.ReportLoad(u.Name, r.Incarnation, l)
	d.onLoad(u.Name, r.Incarnation, l)
}

// ReportLoad passes a load report to the placer.
func (d *Directory) ReportLoad(name string, incarnation uint64, l vane.Load) {
	if l.Draining {
		d.MarkDraining(name, incarnation)
	}
	d.placer.Report(time.Now(), name, l)
}
