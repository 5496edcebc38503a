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

// Guards against more requests than allowed in any second when nodes join, leave, are
// removed while they run, can't reach the store, hear nothing, or stand still. All nodes
// want to send without pause.
func TestBoundInAllSchedules(t *testing.T) {
	used := 0
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		all := names(7)
		store := []set{{all[:5], 1, begin}}
		nodes := make(map[string]*node)
		for _, name := range all {
			nodes[name] = &node{name: name, r: ramp.New(name, bounds)}
		}
		var sent []time.Time
		most := 0
		for now := begin; now.Before(begin.Add(90 * time.Second)); now = now.Add(25 * time.Millisecond) {
			if rng.IntN(160) == 0 { // a node joins, or its record is removed
				last := store[len(store)-1]
				name := all[rng.IntN(len(all))]
				next := slices.DeleteFunc(slices.Clone(last.names), func(n string) bool { return n == name })
				if len(next) == len(last.names) {
					next = append(next, name)
				}
				store = append(store, set{next, last.version + 1, now})
			}
			for _, name := range all {
				n := nodes[name]
				span := time.Duration(rng.IntN(25000)) * time.Millisecond
				switch rng.IntN(1200) {
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
				if now.Before(n.frozenTill) {
					continue
				}
				if n.late > 0 {
					sent, n.late = append(sent, now), 0
				}
				if !now.Before(n.cutUntil) && rng.IntN(20) == 0 { // an answer that the store gave up to 2 s ago
					asOf := now.Add(-time.Duration(rng.IntN(2000)) * time.Millisecond)
					for _, s := range slices.Backward(store) {
						if !s.at.After(asOf) {
							if s.version >= n.r.Version() {
								n.r.SetMembers(now, ramp.Members{Names: s.names, Version: s.version, AsOf: asOf, MaxAge: maxAge})
							}
							break
						}
					}
				}
				if rng.IntN(10) == 0 { // a message to all
					for _, other := range nodes {
						if !now.Before(other.deafUntil) && !now.Before(n.deafUntil) {
							other.r.SetKnown(now, name, n.r.Version())
						}
					}
				}
				for n.r.Allows(now, "u", perS) {
					n.r.Spend(now, "u")
					sent = append(sent, now)
				}
			}
			for len(sent) > 0 && now.Sub(sent[0]) >= time.Second {
				sent = sent[1:]
			}
			most = max(most, len(sent))
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
