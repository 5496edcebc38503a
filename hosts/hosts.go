package hosts

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/internal/reply"
)

// Intervals, timeout, concurrency and limit of the polls.
const (
	listInterval       = time.Second
	loadInterval       = time.Second
	loadTimeout        = 500 * time.Millisecond
	maxConcurrentPolls = 16
	maxHeadBytes       = 32 << 10 // longest response head
	maxLoadBytes       = 64 << 10 // longest load report
)

// Directory is a kernel service that maintains the set of upstreams. Its methods are
// safe for concurrent use, except for OnChange.
type Directory struct {
	st     vane.Store
	placer vane.Placer
	rec    vane.Recorder
	http   *http.Client
	polls  func(upstream string) bool // reports whether this node polls the engine's load
	onLoad func(name string, incarnation uint64, l vane.Load)

	mu           sync.Mutex
	ups          []vane.Upstream
	draining     map[string]uint64 // incarnation that announced draining, by upstream name
	incarnations map[string]uint64 // highest incarnation reported so far, by upstream name
	nextInstance int               // round-robin counter of Service
	loaded       bool              // set once a non-empty list has been received
	onChange     []func([]vane.Upstream)
}

// Option configures a Directory in New.
type Option func(*Directory)

// WithPollFilter sets which engines this node polls for their load; reports of the
// others come from peers through ReportLoad. By default the node polls all engines.
func WithPollFilter(polls func(upstream string) bool) Option {
	return func(d *Directory) { d.polls = polls }
}

// WithLoadFunc sets a function that is called with each load report that this node
// has polled, for example to send it to peers. Calls may be concurrent.
func WithLoadFunc(f func(name string, incarnation uint64, l vane.Load)) Option {
	return func(d *Directory) { d.onLoad = f }
}

// New returns a directory that reads the list from st, passes upstreams and load
// reports to placer and records joins, leaves and drains with rec.
func New(st vane.Store, placer vane.Placer, rec vane.Recorder, opts ...Option) *Directory {
	d := &Directory{
		st: st, placer: placer, rec: rec, draining: make(map[string]uint64), incarnations: make(map[string]uint64),
		http:   &http.Client{Timeout: loadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHeadBytes}},
		polls:  func(string) bool { return true },
		onLoad: func(string, uint64, vane.Load) {},
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// OnChange registers f to be called with each changed list. It must not be called
// after Run has started.
func (d *Directory) OnChange(f func([]vane.Upstream)) { d.onChange = append(d.onChange, f) }

// Run polls the platform and the engines until ctx ends, and returns nil. It calls
// ready after the first attempt, even if the platform did not respond.
func (d *Directory) Run(ctx context.Context, ready func()) error {
	defer d.http.CloseIdleConnections()
	var wg sync.WaitGroup
	wg.Go(func() { d.pollLoads(ctx) })
	defer wg.Wait()
	d.poll(ctx)
	ready()
	for clock.Sleep(ctx, clock.Jitter(listInterval)) {
		d.poll(ctx)
	}
	return nil
}

// poll reads the platform's list once. On an error the current list stays in use.
func (d *Directory) poll(ctx context.Context) {
	ups, err := d.st.Hosts(ctx)
	if err != nil {
		return
	}
	d.SetUpstreams(ups)
}

// SetUpstreams replaces the list of upstreams, for example by one received from a
// peer, after overriding it with the announcements of the upstreams. It informs the
// placer and the OnChange functions if the list has changed.
func (d *Directory) SetUpstreams(ups []vane.Upstream) {
	d.mu.Lock()
	old := d.ups
	d.ups = d.applyAnnouncements(ups)
	d.loaded = d.loaded || len(ups) > 0
	now := d.ups
	fs := d.onChange
	d.mu.Unlock()
	if slices.Equal(old, now) {
		return
	}
	d.recordChanges(old, now)
	d.placer.Update(time.Now(), now)
	for _, f := range fs {
		f(now)
	}
}

// applyAnnouncements returns ups with the incarnations and drains that the upstreams
// have announced and that the platform's list does not show yet. d.mu must be held.
func (d *Directory) applyAnnouncements(ups []vane.Upstream) []vane.Upstream {
	out := make([]vane.Upstream, 0, len(ups))
	for _, u := range ups {
		if inc := d.incarnations[u.Name]; inc > u.Incarnation {
			u = u.WithIncarnation(inc)
		}
		if inc, ok := d.draining[u.Name]; ok && inc == u.Incarnation {
			u = u.WithState(vane.UpstreamLeaving)
		}
		out = append(out, u)
	}
	return out
}

// recordChanges records an event for each upstream that joined, or restarted with a
// new incarnation, and for each that left.
func (d *Directory) recordChanges(old, now []vane.Upstream) {
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

// All returns the current list. The caller must not modify it.
func (d *Directory) All() []vane.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ups
}

// Loaded reports whether a non-empty list has ever been received.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// Service returns the live instances of a plain service. The list is rotated by one
// instance with each call (round robin).
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
		d.nextInstance++
		k := d.nextInstance % len(out)
		out = append(out[k:len(out):len(out)], out[:k]...)
	}
	return out
}

// MarkDraining records that the given incarnation of an upstream has announced that
// it is draining. The upstream is listed in state vane.UpstreamLeaving from then on,
// until it has a new incarnation.
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

// ObserveIncarnation records the incarnation that an upstream stated in a response
// or a load report. Incarnations of an upstream only increase, so an incarnation
// that is not higher than the highest so far is ignored.
func (d *Directory) ObserveIncarnation(name string, incarnation uint64) {
	d.mu.Lock()
	newer := incarnation > d.incarnations[name]
	if newer {
		d.incarnations[name] = incarnation
	}
	ups := d.ups
	d.mu.Unlock()
	if newer {
		d.SetUpstreams(ups)
	}
}

// loadReport is the JSON body of the response to GET /v1/load.
type loadReport struct {
	Running     *int   `json:"running"`
	Waiting     *int   `json:"waiting"`
	Draining    bool   `json:"draining"`
	Incarnation uint64 `json:"incarnation"`
}

// pollLoads polls the load of the engines that the poll filter selects until ctx ends.
func (d *Directory) pollLoads(ctx context.Context) {
	sem := make(chan struct{}, maxConcurrentPolls)
	for clock.Sleep(ctx, clock.Jitter(loadInterval)) {
		var wg sync.WaitGroup
		for _, u := range d.All() {
			if u.Role != vane.RoleEngine || !d.polls(u.Name) {
				continue
			}
			sem <- struct{}{}
			wg.Go(func() {
				defer func() { <-sem }()
				d.fetchLoad(ctx, u)
			})
		}
		wg.Wait()
	}
}

// fetchLoad reads one engine's load report. Engines that do not state their load are
// skipped, since they would look idle.
func (d *Directory) fetchLoad(ctx context.Context, u vane.Upstream) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Addr+"/v1/load", nil)
	if err != nil {
		return
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var r loadReport
	body, err := reply.Read(resp.Body, maxLoadBytes)
	if resp.StatusCode != http.StatusOK || err != nil || json.Unmarshal(body, &r) != nil || r.Running == nil || r.Waiting == nil {
		return
	}
	d.ObserveIncarnation(u.Name, r.Incarnation)
	l := vane.Load{Running: *r.Running, Waiting: *r.Waiting, Draining: r.Draining}
	d.ReportLoad(u.Name, r.Incarnation, l)
	d.onLoad(u.Name, r.Incarnation, l)
}

// ReportLoad passes an upstream's load report to the placer, and marks the upstream as
// draining if the report says so.
func (d *Directory) ReportLoad(name string, incarnation uint64, l vane.Load) {
	if l.Draining {
		d.MarkDraining(name, incarnation)
	}
	d.placer.RecordLoad(time.Now(), name, l)
}
