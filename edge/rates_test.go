package edge

import (
	"bytes"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/sched"
)

// Guards against a new node that estimates with the fixed rates although others have
// learned, and against messages that spoil what it has.
func TestRatesAreExchanged(t *testing.T) {
	is := is.New(t)
	var logged bytes.Buffer
	u := vane.Upstream{Name: "e", Addr: "e:1", Role: vane.RoleService, Service: "plain", Slots: 6, Incarnation: 1}
	newNode := func() *Node {
		log := slog.New(slog.NewTextHandler(&logged, nil))
		n := &Node{log: log, placer: sched.New("dc", newCacheWatcher(nil, log, func() bool { return false }))}
		n.placer.Update(&mirror.View{Upstreams: map[string]vane.Upstream{"e": u}})
		return n
	}
	q := sched.Query{ID: "a", Service: "plain", Objective: time.Second}
	estimate := func(n *Node) time.Duration {
		c, ok := n.placer.Pick(clock.BootTime(), q)
		is.True(ok)
		return c.Estimate
	}
	a, b := newNode(), newNode()
	is.Equal(estimate(b), 30*time.Millisecond)
	for i := range 20 {
		now := clock.BootTime().Add(time.Duration(i) * time.Second)
		c, _ := a.placer.Pick(now, q)
		t := a.placer.Begin(now, q, c)
		a.placer.FirstByte(now.Add(60*time.Millisecond), t)
		a.placer.End(now.Add(60*time.Millisecond), t)
	}
	m := &mesh.Message{Name: "a"}
	a.composeRates(m)
	is.Equal(len(m.Rates), 1)
	is.True(strings.Contains(logged.String(), "rates changed"))
	again := &mesh.Message{Name: "a"}
	a.composeRates(again)
	is.Equal(len(again.Rates), 0) // only some messages carry them
	b.receiveRates(m)
	is.Equal(estimate(b), 60*time.Millisecond)
	b.receiveRates(again)
	for i, bad := range []mesh.ServiceRates{
		{}, {Service: "plain"}, {Service: "plain", PrefillPerMS: 90, BaseMS: 90, WorkMS: math.NaN(), Samples: 50},
		{Service: "plain", PrefillPerMS: 90, BaseMS: 90, WorkMS: -1, Samples: 50}, {Service: "unknown", PrefillPerMS: 90, BaseMS: 90, WorkMS: 9, Samples: 50},
	} {
		b.receiveRates(&mesh.Message{Name: fmt.Sprint("bad", i), Extension: mesh.Extension{Rates: []mesh.ServiceRates{bad}}})
		is.Equal(estimate(b), 60*time.Millisecond)
	}
	b.placer.KeepPeersInFlight(func(node string) bool { return node != "a" })
	is.Equal(estimate(b), 30*time.Millisecond)
}
