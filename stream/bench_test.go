package stream_test

import (
	"io"
	"strings"
	"testing"

	"mustardvane.org/vane/stream"
)

// null takes events and drops them.
type null struct{}

func (null) WriteEvent([]byte) error { return nil }

// BenchmarkRelay gives the cost of an event on the relay path, next to a plain
// copy of the same bytes.
func BenchmarkRelay(b *testing.B) {
	one := strings.Replace(ev(0, "gutter "), "id: 0\n", "", 1)
	b.Run("relay", func(b *testing.B) {
		b.ReportAllocs()
		rel := stream.NewRelay(null{}, "tok", 0, true)
		_ = rel.Copy(stream.NewReader(io.LimitReader(&repeat{s: one}, int64(len(one)*b.N))), "chatcmpl-1")
	})
	b.Run("copy", func(b *testing.B) {
		b.ReportAllocs()
		_, _ = io.Copy(io.Discard, io.LimitReader(&repeat{s: one}, int64(len(one)*b.N)))
	})
}

// repeat reads the same text again and again.
type repeat struct {
	s  string
	at int
}

func (r *repeat) Read(p []byte) (int, error) {
	n := copy(p, r.s[r.at:])
	r.at = (r.at + n) % len(r.s)
	return n, nil
}
