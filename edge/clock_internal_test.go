package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/lease"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/mirror"
	"mustardvane.org/vane/rollout"
	"mustardvane.org/vane/sched"
)

// oneObject is a store that holds at most one object.
type oneObject struct {
	vane.Store
	o *vane.Object
}

func (s *oneObject) Get(context.Context, string) (vane.Object, error) { return *s.o, nil }

func (s *oneObject) Put(_ context.Context, key string, expected uint64, value []byte) (uint64, error) {
	version := uint64(0)
	if s.o != nil {
		version = s.o.Version
	}
	if version != expected {
		return 0, vane.Errorf(vane.KindConflict, "test.put", "", "version %d", version)
	}
	s.o = &vane.Object{Key: key, Value: value, Version: version + 1}
	return s.o.Version, nil
}

// A node that starts after its wall clock was set back overwrote the record of its earlier start
// with a lower boot number, so that it looked older to the other nodes.
func TestRecordOfALaterStart(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before string // record in the store; empty if there is none
		want   uint64
	}{
		{"no record", "", 5000},
		{"earlier start", `{"name":"n","boot":4000}`, 5000},
		{"earlier start on a clock two seconds ahead", `{"name":"n","boot":7000}`, 7001},
		{"earlier start on a clock an hour ahead", `{"name":"n","boot":3605000}`, 3605001},
		{"own record", `{"name":"n","boot":5000}`, 5000},
		{"malformed record", `x`, 5000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			st := &oneObject{}
			if tt.before != "" {
				st.o = &vane.Object{Value: []byte(tt.before), Version: 3}
			}
			m := mesh.New(vane.PeerRecord{Name: "n", Boot: 5000}, mesh.Deps{Log: slog.New(slog.DiscardHandler)})
			record := func(boot uint64) vane.PeerRecord { return vane.PeerRecord{Name: "n", Boot: boot} }
			is.NoErr(putRecord(t.Context(), st, m, record))
			is.NoErr(putRecord(t.Context(), st, m, record)) // after a removal or a restore
			var r vane.PeerRecord
			is.NoErr(json.Unmarshal(st.o.Value, &r))
			is.Equal(r.Boot, tt.want)
			is.Equal(m.Boot(), tt.want)
		})
	}
}

// A lease holder whose wall clock was set forward just after its start removed the records of all
// nodes that it had not heard yet, and one whose clock was set back removed none for as long.
func TestSilentPeers(t *testing.T) {
	now := time.Now()
	peers := []mesh.Peer{
		{PeerRecord: vane.PeerRecord{Name: "never"}}, {PeerRecord: vane.PeerRecord{Name: "silent"}, LastHeard: now.Add(-peerSilenceLimit - 1)},
		{PeerRecord: vane.PeerRecord{Name: "alive"}, LastHeard: now.Add(-time.Second)},
	}
	is := is.New(t)
	is.Equal(silentPeers(now, peerSilenceLimit-1, peers), nil)
	is.Equal(silentPeers(now, peerSilenceLimit, peers), []string{"never", "silent"})
}

// The age of weights that were named while no node ran is a difference between the wall clocks of
// two hosts, one of which may be wrong.
func TestAgeOfWeightsNamedOnAWrongClock(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, -10 * time.Second, -2 * time.Second, 2 * time.Second, 10 * time.Second, time.Hour} {
		t.Run(jump.String(), func(t *testing.T) {
			is := is.New(t)
			offset, confirmed := clock.WallOffset()+jump, false
			n := &Node{settings: Settings{Node: "n"}, log: slog.New(slog.DiscardHandler), startedAt: clock.BootTime()}
			n.mirror = mirror.NewService(nil, weightsOnly{}, mirror.WithWallOffset(func() (time.Duration, bool) { return offset, confirmed }))
			n.mirror.Import([]vane.Object{{Key: "w/m", Value: []byte("12"), Version: 8}})
			before := &Node{mirror: n.mirror, log: n.log}
			offset -= jump // the previous holder's clock is right
			data := newLoader(before).leaseData()
			offset += jump
			l := newLoader(n)
			l.handleAcquired(lease.Acquisition{Previous: lease.Record{Holder: "before", Data: data}})
			is.True(n.mirror.View().Weights["m"].OutdatedFor(clock.BootTime(), 1) < time.Second) // not by the unconfirmed clock
			offset, confirmed = offset-jump+5*time.Second, true                                  // five seconds after the write
			l.boundPending()
			got := n.mirror.View().Weights["m"].OutdatedFor(clock.BootTime(), 1)
			is.True(got >= 5*time.Second && got < 9*time.Second)
		})
	}
}

// The begin of a roll-out is recorded as a wall time. A lease holder that started during the
// roll-out on a clock that was ahead rolled it back, and one on a clock that was behind kept to
// the first stages for too long.
func TestBeginOfARolloutOnAWrongClock(t *testing.T) {
	const duration = 20 * time.Second
	for _, jump := range []time.Duration{-time.Hour, -10 * time.Second, 10 * time.Second, time.Hour} {
		t.Run(jump.String(), func(t *testing.T) {
			is := is.New(t)
			log := slog.New(slog.DiscardHandler)
			n := &Node{log: log, placer: sched.New("dc", newCacheWatcher(nil, log, func() bool { return false }))}
			o := newRollouts(n)
			wall := time.Now() // of most nodes
			now := time.Now().Add(jump)
			began := wall.Add(-duration / 2)
			r := vane.Rollout{Service: "s", Target: "v2", Duration: duration, Revision: 4}.WithState(vane.RolloutRunning).WithBegan(began)
			o.update(now, &mirror.View{Rollouts: map[string]vane.Rollout{"s": r}})
			o.correctBegins(now, wall)
			right := rollout.New(r.WithBegan(now.Add(-duration/2)), now, rollout.Limits{Share: n.settings.ExposeShare})
			for d := time.Duration(0); d < duration; d += 100 * time.Millisecond {
				is.Equal(o.trackers["s"].Decide(now.Add(d), 1), right.Decide(now.Add(d), 1))
			}
		})
	}
}
