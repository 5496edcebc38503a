package route

import (
	"bytes"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endless is a body without end. It waits now and then, so that many are read at a time.
type endless struct{ n int }

func (e *endless) Read(b []byte) (int, error) {
	if e.n += len(b); e.n > 1<<20 {
		e.n = 0
		time.Sleep(time.Millisecond)
	}
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}

// Upstreams that send without end, many at a time, do not exhaust the memory of a node with
// responses that are read whole.
func TestEndlessResponsesNeedBoundedMemory(t *testing.T) {
	const atOnce = 16
	is := is.New(t)
	var h heldBytes
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for range atOnce {
		wg.Go(func() {
			if _, err := h.readAll(&endless{}, maxResponseBytes); err == nil {
				t.Error("an endless body was read to its end")
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	peak := uint64(0)
	for open := true; open; {
		select {
		case <-done:
			open = false
		case <-time.After(time.Millisecond):
		}
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapInuse)
	}
	t.Logf("peak of the heap: %d MB", (peak-before.HeapInuse)>>20)
	is.True(peak-before.HeapInuse < 4*maxHeldBytes) // the collector lets garbage grow to the size of what is used
	is.Equal(h.n.Load(), int64(0))
}

func TestReadAll(t *testing.T) {
	is := is.New(t)
	var h heldBytes
	for _, n := range []int{0, 1, minChunkBytes, minChunkBytes + 1, 5 << 20} {
		want := bytes.Repeat([]byte("ab"), n/2)
		got, err := h.readAll(bytes.NewReader(want), 5<<20)
		is.NoErr(err)
		is.True(bytes.Equal(got, want))
	}
	_, err := h.readAll(strings.NewReader(strings.Repeat("x", 1001)), 1000)
	is.True(err != nil)
	_, err = h.readAll(io.MultiReader(strings.NewReader("x"), &failing{}), 1000)
	is.Equal(err, io.ErrUnexpectedEOF)
	is.Equal(h.n.Load(), int64(0))
}

// failing is a body that breaks off.
type failing struct{}

func (*failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
