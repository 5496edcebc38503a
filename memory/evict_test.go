package memory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestVictims guards against evicting a sender that makes progress for one of its own priority,
// and one that is urgent for one that is not.
func TestVictims(t *testing.T) {
	now := time.Unix(100, 0)
	hold := func(priority int, bytes int64, idle time.Duration, pinned bool) State {
		return State{Class: Class{Kind: KindBody, Priority: priority}, Bytes: bytes, Progress: now.Add(-idle), Pinned: pinned}
	}
	for _, tt := range []struct {
		name     string
		holds    []State
		need     int64
		priority int
		want     []int
	}{
		{"none", nil, 1, 1, nil},
		{"makes progress", []State{hold(1, 10, 0, false)}, 5, 1, nil},
		{"stalled", []State{hold(1, 10, time.Second, false)}, 5, 1, []int{0}},
		{"stalled, but pinned", []State{hold(1, 10, time.Minute, true)}, 5, 1, nil},
		{"stalled, but more urgent", []State{hold(0, 10, time.Minute, false)}, 5, 1, nil},
		{"less urgent", []State{hold(2, 10, 0, false)}, 5, 1, []int{0}},
		{"least urgent first", []State{hold(2, 10, 0, false), hold(3, 10, 0, false)}, 5, 1, []int{1}},
		{"longest stalled first", []State{hold(1, 10, 2*time.Second, false), hold(1, 10, 3*time.Second, false)}, 5, 1, []int{1}},
		{"largest of the same", []State{hold(1, 10, time.Second, false), hold(1, 20, time.Second, false)}, 5, 1, []int{1}},
		{"several", []State{hold(1, 10, 2*time.Second, false), hold(1, 10, 3*time.Second, false)}, 15, 1, []int{1, 0}},
		{"not enough, so none is evicted in vain", []State{hold(1, 10, time.Second, false)}, 15, 1, nil},
		{"without bytes", []State{hold(3, 0, time.Minute, false)}, 1, 1, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(Victims(tt.holds, tt.need, tt.priority, now), tt.want)
		})
	}
}

// TestVictimConn guards against closing the connection of a request in progress.
func TestVictimConn(t *testing.T) {
	now := time.Unix(100, 0)
	at := func(s ConnState, idle time.Duration) ConnInfo { return ConnInfo{State: s, Progress: now.Add(-idle)} }
	for _, tt := range []struct {
		name  string
		conns []ConnInfo
		want  int
	}{
		{"none", nil, -1},
		{"served", []ConnInfo{at(ConnBusy, time.Hour)}, -1},
		{"new", []ConnInfo{at(ConnHead, time.Millisecond)}, -1},
		{"header stalled", []ConnInfo{at(ConnBusy, time.Hour), at(ConnHead, time.Second)}, 1},
		{"body stalled", []ConnInfo{at(ConnBody, time.Second)}, 0},
		{"body arrives", []ConnInfo{at(ConnBody, time.Millisecond)}, -1},
		{"stalled before idle", []ConnInfo{at(ConnIdle, time.Hour), at(ConnHead, 2*time.Second)}, 1},
		{"longest idle", []ConnInfo{at(ConnIdle, time.Second), at(ConnIdle, time.Minute)}, 1},
		{"idle before unread", []ConnInfo{at(ConnWrite, time.Minute), at(ConnIdle, time.Second)}, 1},
		{"unread", []ConnInfo{at(ConnWrite, 5*time.Second)}, 0},
		{"slowly read", []ConnInfo{at(ConnWrite, time.Second)}, -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(VictimConn(tt.conns, now), tt.want)
		})
	}
}

// TestLimitsFor guards against limits that the smallest host can't bear, or that ordinary callers
// reach on it.
func TestLimitsFor(t *testing.T) {
	is := is.New(t)
	l := LimitsFor(112<<20, 4100)
	is.True(l.Capacity/2 >= 4<<20)                                                                // the largest legal body
	is.True(l.Connections >= 500)                                                                 // callers of a node
	is.True(2*l.Connections+l.IdleUpstreams+3*l.Auxiliary < 4100-4100/headroomPart+3*l.Auxiliary) // leaves the headroom
	is.True(l.Capacity+int64(l.Connections)*connBytes < 112<<20*runtimePercent/100)               // fits below the runtime's limit
	is.True(3*LimitsFor(64<<20, 400).Auxiliary < minHeadroom)                                     // the other listeners leave some for the store
	is.Equal(LimitsFor(1<<20, 10).Connections, minConnections)                                    // never none
}
