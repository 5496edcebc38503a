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

// discardRecorder discards events.
type discardRecorder struct{}

func (discardRecorder) Record(vane.Event) {}

// service simulates a service and logs which attempts it ran.
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

// schedule is one run with random faults.
type schedule struct {
	t          *testing.T
	seed       uint64
	platform   *plat.Platform
	direct     *plat.Transport
	registries []*claim.Registry
	svc        *service

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

// caller repeats one operation through routers that may be killed at any point.
func (s *schedule) caller(op string) {
	for i := range 6 {
		time.Sleep(time.Duration(s.intn(3000)) * time.Millisecond)
		s.attempt(op, fmt.Sprintf("%s/%d", op, i))
	}
}

// attempt sends one request through a random router.
func (s *schedule) attempt(op, name string) {
	reg := s.registries[s.intn(len(s.registries))]
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := reg.Begin(ctx, claim.Request{Workspace: "w", Key: op, Fingerprint: 7})
	if err != nil {
		var r *vane.Refusal
		if !errors.As(err, &r) {
			s.t.Errorf("seed %d: error %v is not a *vane.Refusal", s.seed, err)
			return
		}
		s.count(r.Reason.String())
		if r.Execution == vane.NotRun && s.svc.ran(op, name) {
			s.t.Errorf("seed %d: %s ran, but its refusal says not_run", s.seed, name)
		}
		return
	}
	if c.Replayed() {
		s.count("replayed")
		s.checkSameAnswer(op, string(c.Outcome().Body))
		return
	}
	s.send(c, op, name)
}

// send is the part of an attempt in which the router may be killed, the service may be
// unreachable, and its answer may be lost.
func (s *schedule) send(c *claim.Claim, op, name string) {
	switch s.intn(8) {
	case 0: // the router is killed before it sends
		return
	case 1: // no instance is reached
		_ = c.Release(context.Background())
		s.count("released")
		return
	}
	body := s.svc.run(op, name)
	time.Sleep(time.Duration(s.intn(500)) * time.Millisecond)
	switch s.intn(8) {
	case 0: // the router is killed before it records the outcome
		return
	case 1: // the answer is lost, so the outcome is unknown
		return
	}
	s.checkSameAnswer(op, body)
	c.Finish(claim.Outcome{Status: http.StatusOK, Body: []byte(body)})
	s.count("served")
}

// checkSameAnswer checks that all answers to an operation are equal.
func (s *schedule) checkSameAnswer(op, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, ok := s.answers[op]; ok && first != body {
		s.t.Errorf("seed %d: %s was answered %q and %q", s.seed, op, first, body)
	}
	s.answers[op] = body
}

// injectFaults changes the faults of the platform and its network until ctx ends.
func (s *schedule) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		s.direct.SetNetworkFaults(plat.NetworkFaults{
			MaxDelay:    time.Duration(1+s.intn(400)) * time.Millisecond,
			RequestLoss: float64(s.intn(4)) / 10, ResponseLoss: float64(s.intn(4)) / 10, LateWriteShare: 0.5,
		})
		s.platform.SetFaults(plat.Faults{Down: s.intn(4) == 0, LoseResponses: float64(s.intn(3)) / 10, StaleReads: s.intn(5) == 0})
		time.Sleep(time.Duration(s.intn(4000)) * time.Millisecond)
	}
}

// TestAtMostOnce runs random schedules of outages, lost and delayed writes, killed
// routers and repeating callers, and checks that the service runs no operation twice.
func TestAtMostOnce(t *testing.T) {
	const seeds, ops = 3000, 4
	total := map[string]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			p := plat.New(plat.WithSeed(seed))
			s := &schedule{
				t: t, seed: seed, platform: p, direct: plat.NewTransport(p, seed), svc: &service{runs: map[string][]string{}},
				rnd: rand.New(rand.NewPCG(seed, 11)), answers: map[string]string{}, counts: total,
			}
			for i := range 3 {
				st := store.New("http://platform", store.WithHTTPClient(&http.Client{Transport: s.direct}), store.WithTimeout(500*time.Millisecond))
				s.registries = append(s.registries, claim.NewRegistry(st, fmt.Sprintf("vane-%d", i), discardRecorder{}))
			}
			ctx, cancel := context.WithCancel(t.Context())
			var wg, faults sync.WaitGroup
			faults.Go(func() { s.injectFaults(ctx) })
			for i := range ops {
				wg.Go(func() { s.caller(fmt.Sprintf("op-%d", i)) })
			}
			wg.Wait()
			cancel()
			faults.Wait()
			for op, runs := range s.svc.runs {
				if len(runs) > 1 {
					t.Errorf("seed %d: %s ran %d times: %v", seed, op, len(runs), runs)
				}
			}
			time.Sleep(2 * time.Minute) // lets background writes end
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d seeds: %v", seeds, total)
	if total["served"] < seeds || total["replayed"] < seeds/2 || total["claim_pending"] == 0 || total["released"] == 0 {
		t.Fatal("some outcomes occur too rarely for the check to be meaningful")
	}
}

func TestOutcomeTooLarge(t *testing.T) {
	is := is.New(t)
	p := plat.New()
	st := store.New("http://platform", store.WithHTTPClient(&http.Client{Transport: plat.NewTransport(p, 1)}))
	reg := claim.NewRegistry(st, "vane-1", discardRecorder{})
	r := claim.Request{Workspace: "w", Key: "k", Fingerprint: 1}
	c, err := reg.Begin(t.Context(), r)
	is.NoErr(err)
	is.NoErr(<-c.Finish(claim.Outcome{Status: 200, Body: make([]byte, 1<<20)}))
	again, err := reg.Begin(t.Context(), r)
	is.NoErr(err)
	is.True(again.Replayed())
	is.True(again.Outcome().Truncated)
}
