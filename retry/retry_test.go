package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/retry"
)

func TestDecide(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, tt := range []struct {
		name    string
		a       retry.Attempt
		retried bool
		reason  vane.Reason
	}{
		{"not run", retry.Attempt{Number: 1, Execution: vane.NotRun, Left: time.Second}, true, vane.ReasonNone},
		{"may have run, idempotent", retry.Attempt{Number: 1, Execution: vane.MayHaveRun, Idempotent: true, Left: time.Second}, true, vane.ReasonNone},
		{"may have run", retry.Attempt{Number: 1, Execution: vane.MayHaveRun, Left: time.Second}, false, vane.ReasonUpstreamFailed},
		{"too often", retry.Attempt{Number: retry.MaxAttempts, Left: time.Second}, false, vane.ReasonUpstreamFailed},
		{"no time left", retry.Attempt{Number: 1, Left: time.Millisecond}, false, vane.ReasonQueueDeadline},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := retry.Decide(tt.a, retry.NewBudget(), now)
			is.Equal(v.Retry, tt.retried)
			is.Equal(v.Reason, tt.reason)
		})
	}
}

// TestBudget checks the number of retries if every request fails, as in an overload.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(retry.WithShare(0.1))
	now := time.Unix(1_000_000, 0)
	retries := 0
	const requests = 10_000
	for i := range requests {
		b.CountRequest()
		if b.Take(now.Add(time.Duration(i) * time.Millisecond)) {
			retries++
		}
	}
	is.True(retries >= requests/10)
	is.True(retries <= requests/10+2*requests/1000+20) // a tenth of the requests, two per second and the initial 20
}

func ExampleDecide() {
	v := retry.Decide(retry.Attempt{Number: 1, Execution: vane.MayHaveRun, Left: time.Second}, retry.NewBudget(), time.Now())
	fmt.Println(v.Retry, v.Reason)
	// Output: false upstream_failed
}
