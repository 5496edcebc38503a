package sched_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
	"mustardvane.org/vane/site"
)

// regions has two data centres in one region and one in another.
var regions = map[string]string{"dc0": "north", "dc1": "north", "dc2": "south"}

// evacuate returns the view with evacuated data centres.
func evacuate(v *mirror.View, dataCentres ...string) *mirror.View {
	v.Evacuated = make(map[string]uint64)
	for _, dc := range dataCentres {
		v.Evacuated[dc] = 1
	}
	return v
}

// Guards against requests to evacuated data centres and to regions that are not allowed. The
// node is in dc0, whose upstreams it prefers.
func TestDataCentresOfRequests(t *testing.T) {
	for _, tt := range []struct {
		name      string
		evacuated []string
		regions   sched.Regions
		want      map[string]bool // nil if the request is refused
	}{
		{"all", nil, sched.Regions{}, map[string]bool{"dc0": true, "dc1": true, "dc2": true}},
		{"evacuated", []string{"dc0"}, sched.Regions{}, map[string]bool{"dc1": true, "dc2": true}},
		{"two evacuated", []string{"dc0", "dc1"}, sched.Regions{}, map[string]bool{"dc2": true}},
		{"all evacuated", []string{"dc0", "dc1", "dc2"}, sched.Regions{}, nil},
		{"one region", nil, sched.RegionsOf([]string{"south"}), map[string]bool{"dc2": true}},
		{"region of two lists", nil, sched.RegionsOf([]string{"south", "north"}, []string{"east", "south"}), map[string]bool{"dc2": true}},
		{"no region in both lists", nil, sched.RegionsOf([]string{"south"}, []string{"north"}), nil},
		{"region evacuated", []string{"dc2"}, sched.RegionsOf([]string{"south"}), nil},
		{"unknown region", nil, sched.RegionsOf([]string{"east"}), nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := sched.New("dc0", &cache{}, sched.WithRegions(regions))
			p.Update(evacuate(view(6, same(1)), tt.evacuated...))
			for i := range 60 {
				now := begin.Add(time.Duration(i) * 10 * time.Millisecond)
				q := query(i%5, i)
				q.Regions = tt.regions
				c, ok := p.Pick(now, q)
				is.Equal(ok, tt.want != nil)
				if ok {
					is.True(tt.want[c.Upstream.DataCentre])
					p.Begin(now, q, c)
				}
			}
		})
	}
}

// Guards against copies of parts of prompts out of the allowed regions, by the request itself
// or by a later one that may go anywhere, and against fetches from evacuated data centres.
func TestCachesOfDataCentres(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{held: map[string]bool{}}, sched.WithRegions(regions))
	v := view(3, same(1)) // one engine in each data centre
	v.Config = site.New(1, site.WithServices(vane.Service{Name: "kv", CacheAddr: "store:1", CacheDataCentre: "dc2"}))
	p.Update(v)
	south := query(1, 1)
	south.Regions = sched.RegionsOf([]string{"south"})
	c, ok := p.Pick(begin, south)
	is.True(ok)
	is.Equal(c.SaveTo, "store:1") // the store is in the south
	p.Begin(begin, south, c)

	anywhere := query(1, 2)
	c, ok = p.Pick(begin, anywhere)
	is.True(ok)
	is.Equal(c.FetchFrom, "") // the parts at e02 are those of the south
	p.Begin(begin, anywhere, c)
	holder := c.Upstream

	north := query(1, 3)
	north.Regions = sched.RegionsOf([]string{"north"})
	c, ok = p.Pick(begin, north)
	is.True(ok)
	is.Equal(c.SaveTo, "")

	w := evacuate(view(3, same(1)), holder.DataCentre, "dc2")
	w.Config = v.Config
	p.Update(w)
	c, ok = p.Pick(begin, query(1, 4))
	is.True(ok)
	is.Equal(c.FetchFrom, "") // neither from the holder nor from the store
	is.Equal(c.SaveTo, "")
}

// Guards against a node that stood still, does not know yet that a data centre was evacuated
// meanwhile, and sends what had arrived.
func TestNoRequestsRightAfterAStandstill(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{down: true}, sched.WithStallLimit(2*time.Second))
	p.Update(evacuate(view(3, same(1))))
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	picks := func(d time.Duration) bool {
		_, ok := p.Pick(at(d), query(1, 1))
		return ok
	}
	is.True(picks(0))
	p.Tick(at(0))
	is.True(picks(2 * time.Second))
	p.Tick(at(2 * time.Second))
	is.True(!picks(5 * time.Second)) // before the first tick after the standstill
	p.Tick(at(5100 * time.Millisecond))
	is.True(!picks(5500 * time.Millisecond))
	p.Tick(at(5500 * time.Millisecond))
	is.True(picks(5700 * time.Millisecond))
	other := sched.New("dc0", &cache{down: true})
	other.Update(view(3, same(1)))
	other.Tick(at(0))
	_, ok := other.Pick(at(time.Hour), query(1, 1))
	is.True(ok)
}

// Guards against requests that stay in the queue of an upstream whose data centre is
// evacuated although they may go elsewhere, and against ends of those that may not.
func TestWaitingRequestsLeaveAnEvacuatedDataCentre(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{down: true})
	p.Update(view(1, same(1)))
	withdrawn := make(map[string]int)
	send := func(id string, repeatable bool) *sched.Attempt {
		q := query(1, 1)
		q.ID, q.Repeatable = id, repeatable
		c, ok := p.Pick(begin, q)
		is.True(ok)
		a := p.Begin(begin, q, c)
		p.OnExpire(a, func() { withdrawn[id]++ })
		return a
	}
	send("waits", true)
	send("may not be repeated", false)
	p.FirstByte(begin, send("has begun", true))
	is.Equal(len(p.WithdrawEvacuated(begin)), 0)
	p.Update(evacuate(view(1, same(1)), "dc0"))
	is.Equal(len(p.WithdrawEvacuated(begin)), 1)
	is.Equal(len(p.WithdrawEvacuated(begin)), 0)
	is.Equal(withdrawn, map[string]int{"waits": 1})
}
