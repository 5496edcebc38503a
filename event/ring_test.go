package event_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/event"
)

func TestRingKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	r := event.NewRing("n", 4)
	for i := range 10 {
		r.Record(vane.Event{Kind: vane.EventServed, Observed: float64(i)})
	}
	p := r.Since(0, event.Filter{})
	is.Equal(p.Lost, uint64(6)) // ten events were recorded and the ring holds four
	is.Equal(len(p.Events), 4)
	is.Equal(p.Events[0].Observed, 6.0)
	is.Equal(len(r.Since(p.Next, event.Filter{}).Events), 0)
	is.Equal(len(r.Since(0, event.Filter{Kind: "refused"}).Events), 0)
}

// TestMergeKeepsCauses checks that an event sorts after its cause on another node even
// if its own node's wall clock is a minute behind.
func TestMergeKeepsCauses(t *testing.T) {
	is := is.New(t)
	var ahead, behind event.Clock
	wall := time.Unix(1_000_000, 0)
	cause := ahead.Next(wall.Add(time.Minute))
	behind.Observe(cause)
	effect := behind.Next(wall)
	is.True(effect > cause)
	all := event.Merge([]vane.Event{{Host: "b", Clock: effect}}, []vane.Event{{Host: "a", Clock: cause}})
	is.Equal(all[0].Host, "a")
	is.Equal(all[1].Host, "b")
}

func TestUpdated(t *testing.T) {
	is := is.New(t)
	r := event.NewRing("n", 4)
	ch := r.Updated(0)
	select {
	case <-ch:
		t.Fatal("channel closed before any event was recorded")
	default:
	}
	r.Record(vane.Event{Kind: vane.EventServed})
	<-ch
	<-r.Updated(0) // closed at once, since the event has been recorded
	is.Equal(r.Since(0, event.Filter{}).Next, uint64(1))
}

func ExampleMerge() {
	a, b := event.NewRing("a", 8), event.NewRing("b", 8)
	a.Record(vane.Event{Kind: vane.EventRefused, Reason: vane.ReasonLimitRate})
	b.Record(vane.Event{Kind: vane.EventServed})
	for _, e := range event.Merge(b.Since(0, event.Filter{}).Events, a.Since(0, event.Filter{}).Events) {
		fmt.Println(e.Host, e.Kind, e.Reason)
	}
	// Output:
	// a refused limit_rate
	// b served none
}

func BenchmarkRecord(b *testing.B) {
	r := event.NewRing("n", 8192)
	b.ReportAllocs()
	for range b.N {
		r.Record(vane.Event{Kind: vane.EventServed, Workspace: "w", RequestID: "r", Observed: 1})
	}
}
