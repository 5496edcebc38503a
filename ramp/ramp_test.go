package ramp_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/ramp"
)

var begin = time.Unix(9000, 0)

// Bounds and ages of the tests.
const (
	perS   = 10
	maxAge = 5 * time.Second
)

var bounds = ramp.Bounds{Over: 1.5, Slack: 5}

// limit is the number of requests that a cold upstream may get in any one second.
const limit = 1.5*perS + 5

// names returns the names of n nodes.
func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("n%02d", i))
	}
	return out
}

// Guards against two nodes of one view that spend the same share, and against upstreams
// that nobody may use.
func TestOwnersOfEqualViews(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 87, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			all := names(n)
			m := ramp.Members{Names: all, Version: 7, AsOf: begin, MaxAge: maxAge}
			var nodes []*ramp.Ramp
			for _, name := range all {
				r := ramp.New(name, bounds)
				r.SetMembers(begin, m)
				for _, other := range all {
					r.SetKnown(begin.Add(-ramp.Window), other, 7)
				}
				nodes = append(nodes, r)
			}
			for u := range 20 {
				sum := 0
				for _, r := range nodes {
					for r.Allows(begin, fmt.Sprint(u), perS) {
						r.Spend(begin, fmt.Sprint(u))
						sum++
					}
				}
				is.Equal(sum, min(ramp.Owners, n)*bounds.Share(perS))
			}
		})
	}
}

// Guards against spending by a new owner before the displaced ones know of it, and by a
// node whose view is old.
func TestWaits(t *testing.T) {
	is := is.New(t)
	all := names(9)
	r := ramp.New("n00", bounds)
	upstream := ""
	for i := range 100 {
		r.SetMembers(begin, ramp.Members{Names: all, Version: 1, AsOf: begin, MaxAge: maxAge})
		if first, _ := ramp.First(all, fmt.Sprint(i)); first == "n00" {
			upstream = fmt.Sprint(i)
			break
		}
	}
	is.True(upstream != "")
	is.True(!r.Owns(begin, upstream)) // nobody has said to know of the node
	for _, name := range all {
		r.SetKnown(begin, name, 1)
	}
	is.True(!r.Owns(begin.Add(ramp.Window-1), upstream)) // what the others sent still counts
	is.True(r.Owns(begin.Add(ramp.Window), upstream))
	is.True(r.Owns(begin.Add(maxAge), upstream))
	is.True(!r.Owns(begin.Add(maxAge+1), upstream)) // the view is too old
	later := begin.Add(time.Minute)
	r.SetMembers(later, ramp.Members{Names: all[1:], Version: 2, AsOf: later, MaxAge: maxAge})
	is.True(!r.Owns(later, upstream)) // not registered any more
	r.SetMembers(later, ramp.Members{Names: all, Version: 3, AsOf: later, MaxAge: maxAge})
	is.True(!r.Owns(later, upstream)) // registered again, and known in the version before only
	end := later.Add(2*maxAge + ramp.Window)
	r.SetMembers(end, ramp.Members{Names: all, Version: 3, AsOf: end, MaxAge: maxAge})
	is.True(r.Owns(end, upstream)) // those that did not hear of it have stopped
	r.Stop()
	is.True(!r.Owns(end, upstream))
}

// Guards against a new owner that waits for long in a large site, where the version of the
// records rises all the time.
func TestVersionsThatRise(t *testing.T) {
	is := is.New(t)
	r := ramp.New("a", bounds)
	r.SetMembers(begin, ramp.Members{Names: []string{"a", "b", "c"}, Version: 5, AsOf: begin, MaxAge: time.Hour})
	for i := range 14 {
		now := begin.Add(time.Duration(i) * 100 * time.Millisecond)
		r.SetKnown(now, "b", uint64(5+i))
		r.SetKnown(now, "c", uint64(5+i))
		is.Equal(r.Owns(now, "2"), i == 13) // a window after version 5
	}
}

// Guards against a successor that spends beside an owner whose record another node removed,
// since that owner can't say that it knows of it.
func TestSuccessorOfARemovedNodeWaits(t *testing.T) {
	is := is.New(t)
	all := names(4)
	first, _ := ramp.First(all, "u")
	rest := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == first })
	second, _ := ramp.First(rest, "u")
	rest = slices.DeleteFunc(rest, func(n string) bool { return n == second })
	third, _ := ramp.First(rest, "u")
	r := ramp.New(third, bounds)
	r.SetMembers(begin, ramp.Members{Names: all, Version: 1, AsOf: begin, MaxAge: maxAge})
	at := begin.Add(time.Hour)
	left := append(rest, second)
	r.SetMembers(at, ramp.Members{Names: left, Version: 2, AsOf: at, MaxAge: maxAge})
	for _, name := range all {
		r.SetKnown(begin, name, 2)
	}
	is.True(!r.Owns(at, "u"))
	at = at.Add(2*maxAge + ramp.Window)
	r.SetMembers(at, ramp.Members{Names: left, Version: 2, AsOf: at, MaxAge: maxAge})
	is.True(r.Owns(at, "u"))
}

// node is a node of the model. Its views come from the store while it is not cut off, and
// it does nothing while it is frozen.
type node struct {
	name       string
	r          *ramp.Ramp
	cutUntil   time.Time
	deafUntil  time.Time // messages of the others do not reach it
	frozenTill time.Time
	late       int // requests that were allowed before a freeze and are sent after it
}

// set is a set of members in the model's store.
type set struct {
	names   []string
	version uint64
	at      time.Time
}

// model is a site in which nodes join, leave, are removed while they run, can't reach the
// store, hear nothing, or stand still. All nodes want to send without pause.
type model struct {
	rng   *rand.Rand
	all   []string
	store []set
	nodes map[string]*node
	sent  []time.Time // within the last second
}

// newModel returns a model of seven nodes of which five are registered.
func newModel(seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), all: names(7), nodes: make(map[string]*node)}
	m.store = []set{{m.all[:5], 1, begin}}
	for _, name := range m.all {
		m.nodes[name] = &node{name: name, r: ramp.New(name, bounds)}
	}
	return m
}

// step plays the moment now. It returns the number of requests within the last second.
func (m *model) step(now time.Time) int {
	if m.rng.IntN(160) == 0 {
		m.changeMembers(now)
	}
	for _, name := range m.all {
		n := m.nodes[name]
		m.disturb(now, n)
		if now.Before(n.frozenTill) {
			continue
		}
		if n.late > 0 {
			m.sent, n.late = append(m.sent, now), 0
		}
		if !now.Before(n.cutUntil) && m.rng.IntN(20) == 0 {
			m.read(now, n)
		}
		if m.rng.IntN(10) == 0 {
			m.tell(now, n)
		}
		for n.r.Allows(now, "u", perS) {
			n.r.Spend(now, "u")
			m.sent = append(m.sent, now)
		}
	}
	for len(m.sent) > 0 && now.Sub(m.sent[0]) >= time.Second {
		m.sent = m.sent[1:]
	}
	return len(m.sent)
}

// changeMembers lets a node join, or removes its record.
func (m *model) changeMembers(now time.Time) {
	last := m.store[len(m.store)-1]
	name := m.all[m.rng.IntN(len(m.all))]
	next := slices.DeleteFunc(slices.Clone(last.names), func(n string) bool { return n == name })
	if len(next) == len(last.names) {
		next = append(next, name)
	}
	m.store = append(m.store, set{next, last.version + 1, now})
}

// disturb cuts a node off, or freezes it, now and then. A request may be sent late because of
// that.
func (m *model) disturb(now time.Time, n *node) {
	span := time.Duration(m.rng.IntN(25000)) * time.Millisecond
	switch m.rng.IntN(1200) {
	case 0:
		n.cutUntil = now.Add(3 * span)
	case 1:
		n.frozenTill = now.Add(span)
		if n.r.Allows(now, "u", perS) {
			n.r.Spend(now, "u")
			n.late = 1
		}
	case 2:
		n.deafUntil = now.Add(span)
	}
}

// read gives a node an answer that the store gave up to 2 s ago.
func (m *model) read(now time.Time, n *node) {
	asOf := now.Add(-time.Duration(m.rng.IntN(2000)) * time.Millisecond)
	for _, s := range slices.Backward(m.store) {
		if !s.at.After(asOf) {
			if s.version >= n.r.Version() {
				n.r.SetMembers(now, ramp.Members{Names: s.names, Version: s.version, AsOf: asOf, MaxAge: maxAge})
			}
			return
		}
	}
}

// tell sends a message of a node to all others that hear it.
func (m *model) tell(now time.Time, n *node) {
	for _, other := range m.nodes {
		if !now.Before(other.deafUntil) && !now.Before(n.deafUntil) {
			other.r.SetKnown(now, n.name, n.r.Version())
		}
	}
}

// Guards against more requests than allowed in any second, whatever happens to the nodes.
func TestBoundInAllSchedules(t *testing.T) {
	used := 0
	for seed := range uint64(100) {
		m := newModel(seed)
		most := 0
		for now := begin; now.Before(begin.Add(90 * time.Second)); now = now.Add(25 * time.Millisecond) {
			most = max(most, m.step(now))
		}
		if most > limit {
			t.Fatalf("seed %d: %d requests in a second, allowed %d", seed, most, int(limit))
		}
		if most > 0 {
			used++
		}
	}
	if used < 90 {
		t.Fatalf("requests were sent with %d of 100 seeds only", used)
	}
}

func Example() {
	now := time.Unix(100, 0)
	r := ramp.New("node-1", ramp.Bounds{Over: 1.5, Slack: 5})
	r.SetMembers(now, ramp.Members{Names: []string{"node-1"}, Version: 3, AsOf: now, MaxAge: 5 * time.Second})
	n := 0
	for r.Allows(now, "engine-7", 10) {
		r.Spend(now, "engine-7")
		n++
	}
	fmt.Println(n, r.Allows(now.Add(ramp.Window), "engine-7", 10))
	// Output: 6 true
}
