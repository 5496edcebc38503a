package target

import (
	"slices"
	"strings"
	"sync"
	"time"

	vane "mustardvane.org/vane"
)

// Parameters of the counts.
const (
	keptMinutes   = 60   // length of the history and of the long window, in minutes
	shortWindow   = 5    // length of the short window, in minutes
	maxMissRatio  = 0.05 // fraction of the results that may miss the target
	maxWorkspaces = 8192 // workspaces with counts of their own in a minute
)

// Result is the result of one request. A zero target is not counted.
type Result struct {
	Class            string
	Workspace        string
	FirstToken       time.Duration // time to the first token; zero if there was none
	FirstTokenTarget time.Duration
	TokenGap         time.Duration // mean time between tokens; zero if unknown
	TokenGapTarget   time.Duration
	Refused          vane.Reason // ReasonNone if the request was served
	Cause            vane.Reason // cause of a delay; ReasonNone if unknown
}

// Kind is the kind of a target.
type Kind string

// The kinds of targets.
const (
	KindFirstToken Kind = "first_token"
	KindTokenGap   Kind = "token_gap"
	KindRefused    Kind = "refused" // refusals not caused by the workspace
)

// key identifies the counts of one target of one class.
type key struct {
	class string
	kind  Kind
}

// count is the number of results and of those that miss the target.
type count struct{ results, missed int }

// minuteBucket holds the counts of one minute.
type minuteBucket struct {
	minute     int64 // minutes since the Unix epoch
	counts     map[key]count
	causes     map[key]map[vane.Reason]int // misses by cause
	workspaces map[key]map[string]count    // at most maxWorkspaces for each key
}

// Tracker counts results. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	buckets [keptMinutes]minuteBucket
}

// NewTracker returns a tracker without results.
func NewTracker() *Tracker { return &Tracker{} }

// causedByWorkspace reports whether a refusal is caused by the workspace or its
// caller, so that it does not count.
func causedByWorkspace(r vane.Reason) bool {
	switch r {
	case vane.ReasonLimitRate, vane.ReasonLimitBurst, vane.ReasonBadRequest, vane.ReasonBodyTooLarge, vane.ReasonModelUnknown,
		vane.ReasonCallerGone, vane.ReasonResumeInvalid, vane.ReasonUpstreamRejected, vane.ReasonSuspectRequest:
		return true
	}
	return false
}

// Add counts one result. Results without a class, and refusals that the workspace
// caused, are ignored.
func (t *Tracker) Add(now time.Time, r Result) {
	if r.Class == "" || (r.Refused != vane.ReasonNone && causedByWorkspace(r.Refused)) {
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
	if r.FirstToken > 0 && r.FirstTokenTarget > 0 {
		b.add(key{r.Class, KindFirstToken}, r.Workspace, r.FirstToken > r.FirstTokenTarget, cause)
	}
	if r.TokenGap > 0 && r.TokenGapTarget > 0 {
		b.add(key{r.Class, KindTokenGap}, r.Workspace, r.TokenGap > r.TokenGapTarget, cause)
	}
}

// bucket returns the bucket of the present minute. The caller holds t.mu.
func (t *Tracker) bucket(now time.Time) *minuteBucket {
	m := now.Unix() / 60
	b := &t.buckets[m%keptMinutes]
	if b.minute != m {
		*b = minuteBucket{
			minute: m, counts: make(map[key]count), causes: make(map[key]map[vane.Reason]int), workspaces: make(map[key]map[string]count),
		}
	}
	return b
}

// add adds one result of a target. The cause is counted for a miss.
func (b *minuteBucket) add(k key, ws string, missed bool, cause vane.Reason) {
	b.counts[k] = b.counts[k].plus(missed)
	if b.workspaces[k] == nil {
		b.workspaces[k], b.causes[k] = make(map[string]count), make(map[vane.Reason]int)
	}
	if w, ok := b.workspaces[k][ws]; ok || len(b.workspaces[k]) < maxWorkspaces {
		b.workspaces[k][ws] = w.plus(missed)
	}
	if missed {
		b.causes[k][cause]++
	}
}

// plus returns the count with one more result.
func (c count) plus(missed bool) count {
	c.results++
	if missed {
		c.missed++
	}
	return c
}

// Report is the result of one target of one class in one window.
type Report struct {
	Class          string              `json:"class"`
	Kind           Kind                `json:"kind"`
	Minutes        int                 `json:"minutes"` // length of the window
	Results        int                 `json:"results"`
	Missed         int                 `json:"late"` // results that miss the target
	Causes         map[vane.Reason]int `json:"causes,omitempty"`
	WorstWorkspace string              `json:"worst,omitempty"` // workspace with the largest miss ratio; empty if there are no misses
	WorstMissRatio float64             `json:"worst_part,omitempty"`
}

// MissRatio returns the fraction of the results that miss the target; zero if there are
// no results.
func (r Report) MissRatio() float64 {
	if r.Results == 0 {
		return 0
	}
	return float64(r.Missed) / float64(r.Results)
}

// Met reports whether the target is met.
func (r Report) Met() bool { return r.MissRatio() <= maxMissRatio }

// Cause returns the most frequent known cause of misses, or ReasonNone.
func (r Report) Cause() vane.Reason {
	best := vane.ReasonNone
	for c, n := range r.Causes {
		if c != vane.ReasonNone && (best == vane.ReasonNone || n > r.Causes[best] || (n == r.Causes[best] && c < best)) {
			best = c
		}
	}
	return best
}

// Reports returns a report for every target that has results in the window, for the
// last five minutes and the last hour, in the order of Merge.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for _, span := range []int{shortWindow, keptMinutes} {
		out = append(out, t.window(now, span)...)
	}
	return Merge(out)
}

// window returns unsorted reports on the last span minutes. The caller holds t.mu.
func (t *Tracker) window(now time.Time, span int) []Report {
	first := now.Unix()/60 - int64(span) + 1
	sums := make(map[key]*Report)
	workspaces := make(map[key]map[string]count)
	for i := range t.buckets {
		b := &t.buckets[i]
		if b.minute < first || b.counts == nil {
			continue
		}
		for k, c := range b.counts {
			r := sums[k]
			if r == nil {
				r = &Report{Class: k.class, Kind: k.kind, Minutes: span, Causes: make(map[vane.Reason]int)}
				sums[k], workspaces[k] = r, make(map[string]count)
			}
			r.Results, r.Missed = r.Results+c.results, r.Missed+c.missed
			for cause, n := range b.causes[k] {
				r.Causes[cause] += n
			}
			for ws, w := range b.workspaces[k] {
				sum := workspaces[k][ws]
				workspaces[k][ws] = count{sum.results + w.results, sum.missed + w.missed}
			}
		}
	}
	out := make([]Report, 0, len(sums))
	for k, r := range sums {
		r.WorstWorkspace, r.WorstMissRatio = worstWorkspace(workspaces[k])
		out = append(out, *r)
	}
	return out
}

// worstWorkspace returns the workspace with the largest miss ratio, and that ratio.
func worstWorkspace(m map[string]count) (string, float64) {
	best, ratio := "", 0.0
	for ws, c := range m {
		p := float64(c.missed) / float64(c.results)
		if p > ratio || (p == ratio && p > 0 && ws < best) {
			best, ratio = ws, p
		}
	}
	return best, ratio
}

// Merge adds up the reports of several nodes and sorts them by class, kind and window.
// The worst workspace is the one with the largest miss ratio at any single node.
func Merge(all []Report) []Report {
	var out []Report
	for _, r := range all {
		i := slices.IndexFunc(out, func(o Report) bool { return o.Class == r.Class && o.Kind == r.Kind && o.Minutes == r.Minutes })
		if i < 0 {
			out = append(out, r.clone())
			continue
		}
		o := &out[i]
		o.Results, o.Missed = o.Results+r.Results, o.Missed+r.Missed
		for c, n := range r.Causes {
			o.Causes[c] += n
		}
		if r.WorstMissRatio > o.WorstMissRatio {
			o.WorstWorkspace, o.WorstMissRatio = r.WorstWorkspace, r.WorstMissRatio
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

// clone returns a copy with its own map of causes.
func (r Report) clone() Report {
	causes := make(map[vane.Reason]int, len(r.Causes))
	for c, n := range r.Causes {
		causes[c] = n
	}
	r.Causes = causes
	return r
}
