package target

import (
	"slices"
	"strings"
	"sync"
	"time"

	vane "mustardvane.org/vane"
)

// Shape of the counts.
const (
	minutes    = 60   // kept
	shortSpan  = 5    // minutes of the short window
	allowed    = 0.05 // part of the results that may miss the target
	maxTenants = 8192 // workspaces counted in a minute
)

// Result is the outcome of one request.
type Result struct {
	Class       string
	Workspace   string
	First       time.Duration // to the first token; zero if there was none
	FirstTarget time.Duration
	Gap         time.Duration // mean time between tokens; zero if not known
	GapTarget   time.Duration
	Refused     vane.Reason // ReasonNone for a request that was served
	Cause       vane.Reason // what delayed it, if it is known
}

// Kind is what a target is about.
type Kind string

// The kinds of targets.
const (
	KindFirst   Kind = "first_token"
	KindGap     Kind = "token_gap"
	KindRefused Kind = "refused" // refusals that the workspace did not cause
)

// key names the counts of one target of one class.
type key struct {
	class string
	kind  Kind
}

// count is a number of results and of those that miss the target.
type count struct{ n, late int }

// bucket holds the counts of one minute.
type bucket struct {
	minute int64
	counts map[key]count
	causes map[key]map[vane.Reason]int
	worst  map[key]map[string]count // by workspace
}

// Tracker counts results. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	buckets [minutes]bucket
}

// NewTracker returns a tracker without counts.
func NewTracker() *Tracker { return &Tracker{} }

// own says whether a refusal is the workspace's own doing, and so no miss.
func own(r vane.Reason) bool {
	switch r {
	case vane.ReasonLimitRate, vane.ReasonLimitBurst, vane.ReasonBadRequest, vane.ReasonBodyTooLarge, vane.ReasonModelUnknown,
		vane.ReasonCallerGone, vane.ReasonResumeInvalid, vane.ReasonUpstreamRejected, vane.ReasonSuspectRequest:
		return true
	}
	return false
}

// Add counts one result.
func (t *Tracker) Add(now time.Time, r Result) {
	if r.Class == "" || (r.Refused != vane.ReasonNone && own(r.Refused)) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(now)
	cause := r.Cause
	if r.Refused != vane.ReasonNone {
		cause = r.Refused
	}
	b.add(key{r.Class, KindRefused}, r.Workspace, r.Refused != vane.ReasonNone, cause)
	if r.First > 0 && r.FirstTarget > 0 {
		b.add(key{r.Class, KindFirst}, r.Workspace, r.First > r.FirstTarget, cause)
	}
	if r.Gap > 0 && r.GapTarget > 0 {
		b.add(key{r.Class, KindGap}, r.Workspace, r.Gap > r.GapTarget, cause)
	}
}

// bucket returns the bucket of the present minute. The lock is held.
func (t *Tracker) bucket(now time.Time) *bucket {
	m := now.Unix() / 60
	b := &t.buckets[m%minutes]
	if b.minute != m {
		*b = bucket{
			minute: m, counts: make(map[key]count), causes: make(map[key]map[vane.Reason]int), worst: make(map[key]map[string]count),
		}
	}
	return b
}

// add counts one result of a target.
func (b *bucket) add(k key, ws string, late bool, cause vane.Reason) {
	b.counts[k] = b.counts[k].plus(late)
	if b.worst[k] == nil {
		b.worst[k], b.causes[k] = make(map[string]count), make(map[vane.Reason]int)
	}
	if w, ok := b.worst[k][ws]; ok || len(b.worst[k]) < maxTenants {
		b.worst[k][ws] = w.plus(late)
	}
	if late {
		b.causes[k][cause]++
	}
}

// plus returns the count with one more result.
func (c count) plus(late bool) count {
	c.n++
	if late {
		c.late++
	}
	return c
}

// Report says whether one target of one class is met in one window.
type Report struct {
	Class     string              `json:"class"`
	Kind      Kind                `json:"kind"`
	Minutes   int                 `json:"minutes"` // of the window
	Results   int                 `json:"results"`
	Late      int                 `json:"late"` // results that miss the target
	Causes    map[vane.Reason]int `json:"causes,omitempty"`
	Worst     string              `json:"worst,omitempty"` // workspace with the largest part of misses
	WorstPart float64             `json:"worst_part,omitempty"`
}

// Part returns the part of the results that miss the target.
func (r Report) Part() float64 {
	if r.Results == 0 {
		return 0
	}
	return float64(r.Late) / float64(r.Results)
}

// Met says whether the target is met.
func (r Report) Met() bool { return r.Part() <= allowed }

// Cause returns the most frequent cause of misses, or ReasonNone if none is known.
func (r Report) Cause() vane.Reason {
	best := vane.ReasonNone
	for c, n := range r.Causes {
		if c != vane.ReasonNone && (best == vane.ReasonNone || n > r.Causes[best] || (n == r.Causes[best] && c < best)) {
			best = c
		}
	}
	return best
}

// Reports returns all targets that have results, for the last minutes and for the
// hour, in order.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for _, span := range []int{shortSpan, minutes} {
		out = append(out, t.window(now, span)...)
	}
	return Merge(out)
}

// window adds up the last minutes. The lock is held.
func (t *Tracker) window(now time.Time, span int) []Report {
	first := now.Unix()/60 - int64(span) + 1
	sums := make(map[key]*Report)
	worst := make(map[key]map[string]count)
	for i := range t.buckets {
		b := &t.buckets[i]
		if b.minute < first || b.counts == nil {
			continue
		}
		for k, c := range b.counts {
			r := sums[k]
			if r == nil {
				r = &Report{Class: k.class, Kind: k.kind, Minutes: span, Causes: make(map[vane.Reason]int)}
				sums[k], worst[k] = r, make(map[string]count)
			}
			r.Results, r.Late = r.Results+c.n, r.Late+c.late
			for cause, n := range b.causes[k] {
				r.Causes[cause] += n
			}
			for ws, w := range b.worst[k] {
				sum := worst[k][ws]
				worst[k][ws] = count{sum.n + w.n, sum.late + w.late}
			}
		}
	}
	out := make([]Report, 0, len(sums))
	for k, r := range sums {
		r.Worst, r.WorstPart = worstOf(worst[k])
		out = append(out, *r)
	}
	return out
}

// worstOf returns the workspace with the largest part of misses.
func worstOf(m map[string]count) (string, float64) {
	best, part := "", 0.0
	for ws, c := range m {
		p := float64(c.late) / float64(c.n)
		if p > part || (p == part && p > 0 && ws < best) {
			best, part = ws, p
		}
	}
	return best, part
}

// Merge adds up the reports of several nodes and sorts them by class, kind and
// window. The worst workspace is the worst of any node.
func Merge(all []Report) []Report {
	var out []Report
	for _, r := range all {
		i := slices.IndexFunc(out, func(o Report) bool { return o.Class == r.Class && o.Kind == r.Kind && o.Minutes == r.Minutes })
		if i < 0 {
			out = append(out, r.clone())
			continue
		}
		o := &out[i]
		o.Results, o.Late = o.Results+r.Results, o.Late+r.Late
		for c, n := range r.Causes {
			o.Causes[c] += n
		}
		if r.WorstPart > o.WorstPart {
			o.Worst, o.WorstPart = r.Worst, r.WorstPart
		}
	}
	slices.SortFunc(out, func(a, b Report) int {
		if c := strings.Compare(a.Class, b.Class); c != 0 {
			return c
		}
		if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
			return c
		}
		return a.Minutes - b.Minutes
	})
	return out
}

// clone returns a copy whose causes can be changed.
func (r Report) clone() Report {
	causes := make(map[vane.Reason]int, len(r.Causes))
	for c, n := range r.Causes {
		causes[c] = n
	}
	r.Causes = causes
	return r
}
