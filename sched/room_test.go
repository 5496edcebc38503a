package sched_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/admit"
	"mustardvane.org/vane/sched"
)

// The room of a service counts this node's work until its first byte, the reports of the
// others while they live, and upstreams that take requests or are only full for the moment.
func TestRoom(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	p.Update(view(4, same(1)))
	q := sched.Query{ID: "1", Service: "llm", Model: "m", PromptTokens: 9000}
	c, ok := p.Pick(begin, q)
	is.True(ok)
	is.Equal(p.Work(c), 100*time.Millisecond)
	a := p.Begin(begin, q, c)
	p.SetPeerWork("n1", map[string]admit.Report{"llm": {Outstanding: time.Second, Waiting: time.Millisecond, Demand: 2}})
	p.SetPeerWork("n2", map[string]admit.Report{"llm": {Outstanding: time.Second, Demand: 1}, "other": {Demand: 7}})
	p.MarkFull(begin, "e00")
	p.RecordFailure(begin, "e01")
	r := p.Room(begin, sched.Query{Service: "llm"})
	is.Equal(r.InService, 3.0)
	is.Equal(r.Usable, 2)
	is.Equal(r.Own, 100*time.Millisecond)
	is.Equal(r.Peers, 2*time.Second)
	is.Equal(r.Waiting, time.Millisecond)
	is.Equal(r.PeerDemand, 3.0)
	is.Equal(r.Reporting, 2)
	p.FirstByte(begin, a)
	p.KeepPeersWork(func(node string) bool { return node == "n2" })
	p.SetPeerWork("n2", map[string]admit.Report{"llm": {Outstanding: time.Minute, Demand: 4}})
	r = p.Room(begin, sched.Query{Service: "llm"})
	is.Equal(r.Own, time.Duration(0))
	is.Equal(r.Peers, time.Minute)
	is.Equal(r.PeerDemand, 4.0)
}

// Upstreams that report queues show a backlog that the other nodes have not reported yet.
func TestRoomByReportedLoad(t *testing.T) {
	is := is.New(t)
	p := sched.New("dc0", &cache{})
	p.Update(view(4, same(1)))
	for _, name := range []string{"e00", "e01", "e02"} {
		p.Observe(begin, name, vane.ResponseMeta{HasLoad: true, Load: vane.Load{Running: 64, Waiting: 20}})
	}
	is.True(p.Room(begin, sched.Query{Service: "llm"}).Peers > time.Second)
	is.Equal(p.Room(begin.Add(time.Second), sched.Query{Service: "llm"}).Peers, time.Duration(0)) // the reports are too old
}

// BenchmarkRoom measures what the snapshot adds to each request of a large site.
func BenchmarkRoom(b *testing.B) {
	p := sched.New("dc0", &cache{})
	p.Update(view(60, same(1)))
	b.ReportAllocs()
	for b.Loop() {
		p.Room(begin, sched.Query{Service: "llm"})
	}
}
