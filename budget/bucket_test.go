package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mustardvane.org/vane/budget"
)

var epoch = time.Unix(1_000_000, 0)

// meter checks rate and burst independently of the code under test: it takes the
// spends in order of time and computes the level that a bucket would have.
type meter struct {
	rate, burst, level float64
	at                 time.Time
	lowest             float64 // lowest level so far
}

func newMeter(rate, burst float64) *meter {
	return &meter{rate: rate, burst: burst, level: burst, at: epoch}
}

func (m *meter) spend(at time.Time, n float64) {
	m.level = min(m.burst, m.level+m.rate*at.Sub(m.at).Seconds())
	m.at = at
	m.level -= n
	m.lowest = min(m.lowest, m.level)
}

// over returns the tokens spent above rate and burst in the worst window.
func (m *meter) over() float64 { return max(0, -m.lowest) }

// spend is one entry in the log of consumed tokens.
type spend struct {
	at time.Time
	n  float64
}

// measure returns the tokens spent above rate and burst. The log is sorted by time.
func measure(rate, burst float64, log []spend) float64 {
	m := newMeter(rate, burst)
	for _, s := range log {
		m.spend(s.at, s.n)
	}
	return m.over()
}

// tolerance is the permitted rounding error in tokens.
const tolerance = 1e-3

// TestBucketIsExact settles random reservations late and in any order, and checks
// rate and burst in every window.
func TestBucketIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 100.0, 500.0
		b := budget.NewBucket(epoch, rate, burst)
		now := epoch
		type open struct {
			takeID budget.TakeID
			n      float64
			log    int
		}
		var log []spend
		var opens []open
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if len(opens) > 0 && rapid.Bool().Draw(t, "settle") {
				i := rapid.IntRange(0, len(opens)-1).Draw(t, "which")
				o := opens[i]
				used := o.n * rapid.Float64Range(0, 1).Draw(t, "used")
				b.Refund(now, o.takeID, o.n-used)
				log[o.log].n = used
				opens = append(opens[:i], opens[i+1:]...)
				continue
			}
			n := rapid.Float64Range(1, burst).Draw(t, "n")
			if m, ok := b.Take(now, n); ok {
				log = append(log, spend{now, n})
				opens = append(opens, open{m, n, len(log) - 1})
			}
		}
		if over := measure(rate, burst, log); over > tolerance {
			t.Fatalf("%.3f tokens over the limit", over)
		}
	})
}

func TestRefund(t *testing.T) {
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	for _, tt := range []struct {
		name string
		run  func(b *budget.Bucket) float64
		want float64
	}{
		{"an immediate refund is complete", func(b *budget.Bucket) float64 {
			m, _ := b.Take(at(0), 400)
			return b.Refund(at(0), m, 400)
		}, 400},
		{"tokens that would have overflowed stay lost", func(b *budget.Bucket) float64 {
			m, _ := b.Take(at(0), 400)
			return b.Refund(at(3), m, 400) // 300 tokens have accrued since
		}, 100},
		{"no refund after the bucket has been full again", func(b *budget.Bucket) float64 {
			m, _ := b.Take(at(0), 100)
			_, _ = b.Take(at(5), 300)
			return b.Refund(at(5), m, 100)
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.run(budget.NewBucket(epoch, 100, 500)), tt.want)
		})
	}
}
