package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/claim"
	"mustardvane.org/vane/fake/plat"
	"mustardvane.org/vane/store"
)

// discard drops events.
type discard struct{}

func (discard) Record(vane.Event) {}

// service is the plain service with its own log.
type service struct {
	mu   sync.Mutex
	runs map[string][]string // attempts that ran, by operation
}

func (s *service) run(op, attempt string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[op] = append(s.runs[op], attempt)
	return fmt.Sprintf("%s ran as %s", op, attempt)
}

func (s *service) ran(op, attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.runs[op] {
		if a == attempt {
			return true
		}
	}
	return false
}

// schedule is one random run.
type schedule struct {
	t     *testing.T
	seed  uint64
	p     *plat.Platform
	d     *plat.Direct
	books []*claim.Registry
	svc   *service

	mu      sync.Mutex
	rnd     *rand.Rand
	answers map[string]string // first answer, by operation
	counts  map[string]int
}

func (s *schedule) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.IntN(n)
}

func (s *schedule) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// caller sends one operation again and again, to routers that may be killed at any
// point.
func (s *schedule) caller(op string) {
	for i := range 6 {
		time.Sleep(time.Duration(s.intn(3000)) * time.Millisecond)
		s.attempt(op, fmt.Sprintf("%s/%d", op, i))
	}
}

// attempt is one request of the caller through one router.
func (s *schedule) attempt(op, name string) {
	b := s.books[s.intn(len(s.books))]
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := b.Begin(ctx, claim.Request{Workspace: "w", Key: op, Fingerprint: 7})
	if err != nil {
		var r *vane.Refusal
		if !errors.As(err, &r) {
			s.t.Errorf("seed %d: %v is no refusal", s.seed, err)
			return
		}
		s.count(r.Reason.String())
		if r.Execution == vane.NotRun && s.svc.ran(op, name) {
			s.t.Errorf("seed %d: %s was refused as not run and ran", s.seed, name)
		}
		return
	}
	if c.Replay() {
		s.count("replayed")
		s.sameAnswer(op, string(c.Outcome().Body))
		return
	}
	s.send(c, op, name)
}

// send is the part of an attempt in which the router may be killed, the service
// may not be reached, and its answer may be lost.
func (s *schedule) send(c *claim.Claim, op, name string) {
	switch s.intn(8) {
	case 0: // killed before sending
		return
	case 1: // no instance was reached
		_ = c.Release(context.Background())
		s.count("released")
		return
	}
	body := s.svc.run(op, name)
	time.Sleep(time.Duration(s.intn(500)) * time.Millisecond)
	switch s.intn(8) {
	case 0: // killed before recording
		return
	case 1: // the answer was lost: the outcome is not known
		return
	}
	s.sameAnswer(op, body)
	c.Finish(claim.Outcome{Status: http.StatusOK, Body: []byte(body)})
	s.count("served")
}

// sameAnswer checks that all answers to an operation are the same.
func (s *schedule) sameAnswer(op, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, ok := s.answers[op]; ok && first != body {
		s.t.Errorf("seed %d: %s was answered %q and %q", s.seed, op, first, body)
	}
	s.answers[op] = body
}

// trouble changes the faults of the platform and of the network to it.
func (s *schedule) trouble(ctx context.Context) {
	for ctx.Err() == nil {
		s.d.SetNetwork(plat.Network{
			MaxDelay: time.Duration(1+s.intn(400)) * time.Millisecond,
			DropCall: float64(s.intn(4)) / 10, DropBack: float64(s.intn(4)) / 10, Late: 0.5,
		})
		s.p.SetFaults(plat.Faults{Down: s.intn(4) == 0, LoseAnswers: float64(s.intn(3)) / 10, StaleReads: s.intn(5) == 0})
		time.Sleep(time.Duration(s.intn(4000)) * time.Millisecond)
	}
}

// TestAtMostOnce runs random schedules of outages, lost and late writes, killed
// routers and repeated callers, and counts the runs at the service.
func TestAtMostOnce(t *testing.T) {
	const seeds, ops = 3000, 4
	total := map[string]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			p := plat.New(plat.WithSeed(seed))
			s := &schedule{
				t: t, seed: seed, p: p, d: plat.NewDirect(p, seed), svc: &service{runs: map[string][]string{}},
				rnd: rand.New(rand.NewPCG(seed, 11)), answers: map[string]string{}, counts: total,
			}
			for i := range 3 {
				st := store.New("http://platform", store.WithHTTPClient(&http.Client{Transport: s.d}), store.WithTimeout(500*time.Millisecond))
				s.books = append(s.books, claim.NewRegistry(st, fmt.Sprintf("vane-%d", i), discard{}))
			}
			ctx, cancel := context.WithCancel(t.Context())
			var wg, calm sync.WaitGroup
			calm.Go(func() { s.trouble(ctx) })
			for i := range ops {
				wg.Go(func() { s.caller(fmt.Sprintf("op-%d", i)) })
			}
			wg.Wait()
			cancel()
			calm.Wait()
			for op, runs := range s.svc.runs {
				if len(runs) > 1 {
					t.Errorf("seed %d: %s ran %d times: %v", seed, op, len(runs), runs)
				}
			}
			time.Sleep(2 * time.Minute) // background work ends
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d seeds: %v", seeds, total)
	if total["served"] < seeds || total["replayed"] < seeds/2 || total["claim_pending"] == 0 || total["released"] == 0 {
		t.Fatal("some outcomes hardly occur; the test shows little")
	}
}

func TestOutcomeTooLarge(t *testing.T) {
	is := is.New(t)
	p := plat.New()
	st := store.New("http://platform", store.WithHTTPClient(&http.Client{Transport: plat.NewDirect(p, 1)}))
	b := claim.NewRegistry(st, "vane-1", discard{})
	r := claim.Request{Workspace: "w", Key: "k", Fingerprint: 1}
	c, err := b.Begin(t.Context(), r)
	is.NoErr(err)
	is.NoErr(<-c.Finish(claim.Outcome{Status: 200, Body: make([]byte, 1<<20)}))
	again, err := b.Begin(t.Context(), r)
	is.NoErr(err)
	is.True(again.Replay())
	is.True(again.Outcome().Truncated)
}
