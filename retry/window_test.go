package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/retry"
)

func TestWindowLimitsRetries(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := retry.NewWindow(10*time.Second, 0.2, 3)
	for range 50 {
		w.CountRequest(now)
	}
	taken := 0
	for range 100 {
		if w.Take(now) {
			taken++
		}
	}
	is.Equal(taken, 13) // 0.2 x 50 + 3
	is.True(!w.Take(now.Add(5 * time.Second)))
	is.True(w.Take(now.Add(20 * time.Second))) // the first retries have left the window
}

func TestWindowLimitHoldsInAnyTimeSpan(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(10*time.Second, 0.2, 5)
	var requests, retries []time.Time
	now := time.Unix(2000, 0)
	for i := range 4000 { // callers retry without a pause
		now = now.Add(10 * time.Millisecond)
		if i%7 == 0 {
			w.CountRequest(now)
			requests = append(requests, now)
		}
		if w.Take(now) {
			retries = append(retries, now)
		}
	}
	count := func(at []time.Time, from, to time.Time) (n int) {
		for _, x := range at {
			if !x.Before(from) && x.Before(to) {
				n++
			}
		}
		return n
	}
	for from := time.Unix(2000, 0); from.Before(now.Add(-10 * time.Second)); from = from.Add(time.Second) {
		to := from.Add(10 * time.Second)
		is.True(float64(count(retries, from, to)) <= 0.2*float64(count(requests, from.Add(-10*time.Second), to))+2*5)
	}
}
