package config_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/config"
)

// discard drops events.
type discard struct{}

func (discard) Record(vane.Event) {}

// unreliable is a platform that answers late, not at all, or with what it held
// before.
type unreliable struct {
	vane.Store
	mu   sync.Mutex
	rnd  *rand.Rand
	revs []vane.Object // all that was ever accepted
}

// accept adds a revision.
func (u *unreliable) accept() {
	u.mu.Lock()
	defer u.mu.Unlock()
	rev := uint64(len(u.revs) + 1)
	f := config.Fleet{Models: []config.Model{{Name: fmt.Sprintf("m%d", rev)}}}
	b, _ := f.Encode()
	u.revs = append(u.revs, vane.Object{Key: config.FleetKey, Version: rev, Value: b})
}

// any answers after a while with some accepted revision, often an old one.
func (u *unreliable) any() (vane.Batch, error) {
	b, d, err := u.draw()
	time.Sleep(d)
	return b, err
}

// draw decides what the platform answers and how late.
func (u *unreliable) draw() (vane.Batch, time.Duration, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := time.Duration(u.rnd.IntN(500)) * time.Millisecond
	if u.rnd.IntN(4) == 0 {
		return vane.Batch{}, d, errors.New("no answer")
	}
	if u.rnd.IntN(8) == 0 {
		return vane.Batch{}, d, vane.Errorf(vane.KindCompacted, "test", "", "gone")
	}
	if len(u.revs) == 0 || u.rnd.IntN(4) == 0 {
		return vane.Batch{}, d, nil
	}
	o := u.revs[u.rnd.IntN(len(u.revs))]
	return vane.Batch{Revision: o.Version, Objects: []vane.Object{o}}, d, nil
}

func (u *unreliable) List(context.Context, string) (vane.Batch, error) { return u.any() }

func (u *unreliable) Watch(context.Context, string, uint64) (vane.Batch, error) { return u.any() }

// TestNeverReverts runs random schedules of stale reads, lost answers, and
// messages of peers in any order. The revision in force must never fall, and its
// content must be the one that was accepted under it.
func TestNeverReverts(t *testing.T) {
	const seeds = 150
	changes := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 5))
			st := &unreliable{rnd: rand.New(rand.NewPCG(seed, 6))}
			s := config.NewService(st, discard{})
			last := uint64(0)
			s.OnChange(func(v *config.View) {
				changes++
				if v.Revision <= last {
					t.Errorf("seed %d: revision %d follows %d", seed, v.Revision, last)
				}
				last = v.Revision
				if want := fmt.Sprintf("m%d", v.Revision); v.Fleet.Models[0].Name != want {
					t.Errorf("seed %d: revision %d holds %s", seed, v.Revision, v.Fleet.Models[0].Name)
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- s.Run(ctx, func() {}) }()
			for range 60 {
				time.Sleep(time.Duration(rnd.IntN(700)) * time.Millisecond)
				if rnd.IntN(3) == 0 {
					st.accept()
				}
				if len(st.revs) > 0 && rnd.IntN(2) == 0 {
					o := st.revs[rnd.IntN(len(st.revs))] // a peer's snapshot
					if _, err := s.ApplyIfNewer(o.Version, o.Value); err != nil {
						t.Error(err)
					}
				}
			}
			cancel()
			<-done
		})
	}
	t.Logf("%d seeds, %d changes", seeds, changes)
	if changes < 5*seeds {
		t.Fatal("hardly anything changed; the test shows nothing")
	}
}

func TestOfferRefusesRubbish(t *testing.T) {
	is := is.New(t)
	s := config.NewService(nil, discard{})
	_, err := s.ApplyIfNewer(3, []byte("{"))
	is.Equal(vane.KindOf(err), vane.KindInvalid)
	is.Equal(s.Current().Revision, uint64(0)) // the bad one is not in force
	ok, err := s.ApplyIfNewer(2, []byte("{}"))
	is.NoErr(err)
	is.True(ok)
}
