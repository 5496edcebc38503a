package batch_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/batch"
)

var rates = batch.Rates{PrefillPerMS: 100, BaseMS: 10, RunningMS: 1, WaitingMS: 20}

const ms = time.Millisecond

// Guards against estimates that leave out a part of an engine's work, or count a prompt
// twice.
func TestEstimates(t *testing.T) {
	for _, tt := range []struct {
		name   string
		b      batch.Batch
		tokens float64
		first  time.Duration
		pause  time.Duration
		added  time.Duration
	}{
		{"idle", batch.Batch{}, 1000, 20 * ms, 0, 10 * ms},
		{"all cached", batch.Batch{Running: 4}, 0, 14 * ms, 0, 0},
		{"running and waiting", batch.Batch{Running: 4, Waiting: 2}, 1000, 64 * ms, 0, 10 * ms},
		{"outstanding prompts", batch.Batch{Prompts: 2, Tokens: 5000}, 1000, 70 * ms, 50 * ms, 10 * ms},
		{"a prompt of several chunks", batch.Batch{Chunk: 1024}, 9190, 101900 * time.Microsecond, 0, 10240 * time.Microsecond},
		{"unknown chunk size", batch.Batch{Chunk: 0}, 9190, 101900 * time.Microsecond, 0, 40960 * time.Microsecond},
		{"a second long prompt", batch.Batch{Chunk: 1024, Prompts: 1, Tokens: 9190}, 9190, 193800 * time.Microsecond, 10240 * time.Microsecond, 10240 * time.Microsecond},
		{"slow engine", batch.Batch{Prompts: 1, Tokens: 1000, Slowdown: 2.5}, 1000, 75 * ms, 25 * ms, 25 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.b.Rates = rates
			is.Equal(tt.b.FirstToken(tt.tokens), tt.first)
			is.Equal(tt.b.Pause(), tt.pause)
			is.Equal(tt.b.AddedPause(tt.tokens), tt.added)
		})
	}
}

// Guards against estimates that are negative, overflow or are not numbers, when an
// upstream reports nonsense or a rate is not known.
func TestNonsenseGivesBoundedEstimates(t *testing.T) {
	is := is.New(t)
	values := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300}
	for _, x := range values {
		for _, y := range values {
			b := batch.Batch{Rates: batch.Rates{PrefillPerMS: x, BaseMS: y, RunningMS: y, WaitingMS: x}, Running: y, Waiting: x, Prompts: y, Tokens: x, Chunk: -1, Slowdown: y}
			is.True(b.FirstToken(x) >= 0)
			is.True(b.Pause() >= 0)
			is.True(b.AddedPause(y) >= 0)
		}
	}
}
