package ramp

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Owners is the number of nodes that may send requests to a cold upstream. With one, the
	// loss of a node would leave the upstream unused; with more, the shares of upstreams that
	// tolerate few requests would fall below one.
	Owners = 2

	// Window is the period within which an owner spends its share at most once. It exceeds
	// the second to which the bound applies, since requests that are sent in adjacent windows
	// may be delayed differently on their way.
	Window = 1250 * time.Millisecond
)

// Bounds limit the requests that a cold upstream gets in any one second: the tolerated rate
// times Over, plus Slack.
type Bounds struct {
	Over  float64
	Slack float64 // requests
}

// Share returns the number of requests that one owner may send in a window to an upstream
// that tolerates perS requests a second.
func (b Bounds) Share(perS float64) int {
	n := (max(0, perS)*b.Over + b.Slack) / (Owners + 1)
	if math.IsNaN(n) || n <= 0 {
		return 0
	}
	return int(min(n, maxShare))
}

// maxShare bounds the memory for one upstream.
const maxShare = 1 << 12

// Members are the nodes that are registered in the store, as this node knows them.
type Members struct {
	Names   []string      // names of the nodes, also of this one
	Version uint64        // newest version of the records that is known; rises with each change
	AsOf    time.Time     // time until which all changes are known
	MaxAge  time.Duration // age of AsOf above which this node spends nothing; the same at all nodes of a site
}

// Ramp decides how many requests a node sends to cold upstreams. It is safe for concurrent
// use.
type Ramp struct {
	self   string
	bounds Bounds

	mu      sync.Mutex
	members Members
	past    []memberSet          // sets of members, oldest first; the last one is the present one
	known   map[string]known     // what the other nodes said to know, by node
	owned   map[string]ownership // by upstream; cleared when the members change
	granted map[string]time.Time // by upstream: ownership.since of the ownership that waits no longer
	spent   map[string]*sends    // by upstream
	stopped bool
}

// memberSet is the set of members from a time on.
type memberSet struct {
	names   []string // sorted
	version uint64
	from    time.Time
}

// known is the newest version of the members that another node said to act on.
type known struct {
	version uint64
	at      time.Time // time of the first message that said so
}

// ownership says since when this node has been an owner of an upstream.
type ownership struct {
	owner     bool
	since     time.Time
	version   uint64   // version of the members with which it became an owner
	displaced []string // nodes that may have been owners before and have to know of the change
	removed   bool     // a node that may have been an owner before is not registered any more, so that it can't be asked
}

// sends are the times of the last requests to an upstream, oldest first.
type sends struct{ at []time.Time }

// New returns a ramp for the node with the given name. It allows nothing before the first
// call of SetMembers.
func New(self string, b Bounds) *Ramp {
	return &Ramp{self: self, bounds: b, known: make(map[string]known), owned: make(map[string]ownership), granted: make(map[string]time.Time), spent: make(map[string]*sends)}
}

// SetMembers replaces the members.
func (r *Ramp) SetMembers(now time.Time, m Members) {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := slices.Sorted(slices.Values(m.Names))
	r.members = m
	if n := len(r.past); n == 0 || !slices.Equal(r.past[n-1].names, names) {
		r.past = append(r.past, memberSet{names, m.Version, now})
		clear(r.owned)
	}
	// The set that was in force when the wait began is still needed.
	for len(r.past) > 1 && now.Sub(r.past[1].from) > r.wait() {
		r.past = r.past[1:]
		clear(r.owned)
	}
	for name := range r.known {
		if !slices.Contains(names, name) {
			delete(r.known, name)
		}
	}
}

// Version returns the version of the members that this node acts on. The other nodes must
// be told of it.
func (r *Ramp) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.Version
}

// SetKnown records the value of [Ramp.Version] at another node.
func (r *Ramp) SetKnown(now time.Time, node string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version > r.known[node].version {
		r.known[node] = known{version, now}
	}
}

// Stop makes the ramp allow nothing from now on. A node that is about to leave stops, since
// its successor can't ask it.
func (r *Ramp) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
}

// wait returns how long a new owner waits for nodes that don't say that they know of the
// change. A displaced node learns of it, or stops, within MaxAge. Twice the time covers
// changes that cancel each other between two of its views; the window separates the last
// requests of the old owner from the first ones of the new. The caller must hold mu.
func (r *Ramp) wait() time.Duration { return 2*r.members.MaxAge + Window }

// First returns the name that comes first in the order in which nodes own the upstream, and
// false if there are no names.
func First(names []string, upstream string) (string, bool) {
	first := memberSet{names: names}.first(upstream, 1)
	if len(first) == 0 {
		return "", false
	}
	return first[0], true
}

// first returns the names of the first n nodes by rank. The names are those of a set.
func (s memberSet) first(upstream string, n int) []string {
	type ranked struct {
		rank uint64
		name string
	}
	order := func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name)) }
	best := make([]ranked, 0, n+1)
	for _, name := range s.names {
		x := ranked{hash(name, upstream), name}
		if len(best) == n && order(x, best[n-1]) >= 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, x, order)
		best = slices.Insert(best, i, x)
		best = best[:min(len(best), n)]
	}
	out := make([]string, len(best))
	for i, x := range best {
		out[i] = x.name
	}
	return out
}

// ownership returns since when this node has been an owner of the upstream. The caller must
// hold mu.
func (r *Ramp) ownership(upstream string) ownership {
	if o, ok := r.owned[upstream]; ok {
		return o
	}
	var o ownership
	for i, set := range slices.Backward(r.past) {
		first := set.first(upstream, 2*Owners)
		owners := first[:min(Owners, len(first))]
		if !slices.Contains(owners, r.self) {
			if o.owner {
				for _, name := range owners {
					o.removed = o.removed || !slices.Contains(r.past[i+1].names, name)
				}
			}
			break
		}
		o = ownership{owner: true, since: set.from, version: set.version, displaced: first[len(owners):]}
	}
	r.owned[upstream] = o
	return o
}

// Owns reports whether this node is an owner of the upstream and may spend its share.
func (r *Ramp) Owns(now time.Time, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owns(now, upstream)
}

// owns is Owns for callers that hold mu.
func (r *Ramp) owns(now time.Time, upstream string) bool {
	if r.stopped || r.members.AsOf.IsZero() || now.Sub(r.members.AsOf) > r.members.MaxAge {
		return false
	}
	o := r.ownership(upstream)
	if !o.owner {
		return false
	}
	if since, ok := r.granted[upstream]; ok && since.Equal(o.since) {
		return true
	}
	if now.Sub(o.since) < r.wait() && (o.removed || slices.ContainsFunc(o.displaced, func(node string) bool { return !r.gaveUp(now, node, o.version) })) {
		return false
	}
	r.granted[upstream] = o.since
	return true
}

// gaveUp reports whether a node has known the version of the members for a window, so that
// what it sent before counts no more. The caller must hold mu.
func (r *Ramp) gaveUp(now time.Time, node string, version uint64) bool {
	k := r.known[node]
	return k.version >= version && now.Sub(k.at) >= Window
}

// Allows reports whether a request may be sent now to a cold upstream that tolerates perS
// requests a second. If it is sent, [Ramp.Spend] must be called.
func (r *Ramp) Allows(now time.Time, upstream string, perS float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.bounds.Share(perS)
	if n == 0 || !r.owns(now, upstream) {
		return false
	}
	s, ok := r.spent[upstream]
	return !ok || s.within(now) < n
}

// Spend records a request to a cold upstream.
func (r *Ramp) Spend(now time.Time, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.spent[upstream]
	if !ok {
		s = &sends{}
		r.spent[upstream] = s
	}
	s.within(now)
	s.at = append(s.at, now)
}

// Keep forgets the requests to upstreams for which keep returns false, such as those that
// are gone.
func (r *Ramp) Keep(keep func(upstream string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.spent {
		if !keep(name) {
			delete(r.spent, name)
		}
	}
	for name := range r.granted {
		if !keep(name) {
			delete(r.granted, name)
		}
	}
}

// within returns the number of requests within the last window, and forgets older ones.
func (s *sends) within(now time.Time) int {
	old := 0
	for old < len(s.at) && now.Sub(s.at[old]) >= Window {
		old++
	}
	s.at = slices.Delete(s.at, 0, old)
	return len(s.at)
}

// hash returns a hash of a node's name and an upstream's.
func hash(node, upstream string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a digest does not fail.
	_, _ = d.WriteString("cold upstream\x00" + node)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}
