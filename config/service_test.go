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

// discardRecorder discards events.
type discardRecorder struct{}

func (discardRecorder) Record(vane.Event) {}

// unreliableStore is a store that answers late, with errors, or with an old revision.
type unreliableStore struct {
	vane.Store
	mu       sync.Mutex
	rnd      *rand.Rand
	accepted []vane.Object // all revisions so far, in order
}

// accept adds a revision, whose model is named after it.
func (u *unreliableStore) accept() {
	u.mu.Lock()
	defer u.mu.Unlock()
	rev := uint64(len(u.accepted) + 1)
	f := config.Fleet{Models: []config.Model{{Name: fmt.Sprintf("m%d", rev)}}}
	b, _ := f.Encode()
	u.accepted = append(u.accepted, vane.Object{Key: config.FleetKey, Version: rev, Value: b})
}

// answer returns, after a random delay, any accepted revision, an empty batch or an
// error.
func (u *unreliableStore) answer() (vane.Batch, error) {
	b, d, err := u.drawAnswer()
	time.Sleep(d)
	return b, err
}

// drawAnswer draws the next answer and its delay.
func (u *unreliableStore) drawAnswer() (vane.Batch, time.Duration, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := time.Duration(u.rnd.IntN(500)) * time.Millisecond
	if u.rnd.IntN(4) == 0 {
		return vane.Batch{}, d, errors.New("no answer")
	}
	if u.rnd.IntN(8) == 0 {
		return vane.Batch{}, d, vane.Errorf(vane.KindCompacted, "test", "", "gone")
	}
	if len(u.accepted) == 0 || u.rnd.IntN(4) == 0 {
		return vane.Batch{}, d, nil
	}
	o := u.accepted[u.rnd.IntN(len(u.accepted))]
	return vane.Batch{Revision: o.Version, Objects: []vane.Object{o}}, d, nil
}

func (u *unreliableStore) List(context.Context, string) (vane.Batch, error) { return u.answer() }

func (u *unreliableStore) Watch(context.Context, string, uint64) (vane.Batch, error) {
	return u.answer()
}

// TestRevisionNeverDecreases runs random sequences of stale reads, failed calls and
// peers' messages in any order. The revision in force must never decrease, and its
// content must be the one accepted under that revision.
func TestRevisionNeverDecreases(t *testing.T) {
	const seeds = 150
	changes := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 5))
			st := &unreliableStore{rnd: rand.New(rand.NewPCG(seed, 6))}
			s := config.NewService(st, discardRecorder{})
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
				if len(st.accepted) > 0 && rnd.IntN(2) == 0 {
					o := st.accepted[rnd.IntN(len(st.accepted))] // as if from a peer's snapshot
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
		t.Fatal("fewer than 5 changes per run on average; too few for the test to be meaningful")
	}
}

func TestApplyIfNewerRejectsInvalidConfig(t *testing.T) {
	is := is.New(t)
	s := config.NewService(nil, discardRecorder{})
	_, err := s.ApplyIfNewer(3, []byte("{"))
	is.Equal(vane.KindOf(err), vane.KindInvalid)
	is.Equal(s.Current().Revision, uint64(0)) // the invalid revision must not be in force
	ok, err := s.ApplyIfNewer(2, []byte("{}"))
	is.NoErr(err)
	is.True(ok)
}
