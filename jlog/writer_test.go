package jlog_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/jlog"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

// TestNeverBlocks checks that callers are not blocked while the output is, and that each
// line is either written or counted as dropped.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := jlog.NewWriter(out)
	log := slog.New(slog.NewJSONHandler(w, nil))
	const lines = 10_000
	for i := range lines {
		log.Info("line", "i", i)
	}
	is.True(w.Dropped() > 0)
	close(out.release)
	w.Close()
	got, dropped := 0, 0
	for l := range strings.Lines(out.b.String()) {
		var v struct {
			Msg   string `json:"msg"`
			Count int    `json:"count"`
		}
		is.NoErr(json.Unmarshal([]byte(l), &v))
		if v.Msg == "line" {
			got++
		}
		dropped += v.Count
	}
	is.Equal(got+dropped, lines)
}

func TestCloseWritesQueuedLines(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	w := jlog.NewWriter(&b)
	for range 100 {
		_, err := w.Write([]byte("x\n"))
		is.NoErr(err)
	}
	w.Close()
	is.Equal(b.Len(), 200)
}

func BenchmarkLine(b *testing.B) {
	w := jlog.NewWriter(&bytes.Buffer{})
	defer w.Close()
	log := slog.New(slog.NewJSONHandler(w, nil))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("sent", "request_id", "9c41d07be2a35f68", "upstream", "i-1", "price", 0.25, "left_ms", 4900)
	}
}
