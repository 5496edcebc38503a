package stream_test

import (
	"io"
	"strings"
	"testing"

	"mustardvane.org/vane/stream"
)

// discardWriter discards events.
type discardWriter struct{}

func (discardWriter) WriteEvent([]byte) error { return nil }

// BenchmarkRelay measures the time per event of Relay.Copy, and for comparison that
// of copying the same bytes.
func BenchmarkRelay(b *testing.B) {
	one := strings.Replace(answerEvent(0, "gutter "), "id: 0\n", "", 1)
	b.Run("relay", func(b *testing.B) {
		b.ReportAllocs()
		rel := stream.NewRelay(discardWriter{}, "tok", 0, true)
		_ = rel.Copy(stream.NewReader(io.LimitReader(&repeatReader{s: one}, int64(len(one)*b.N))), "chatcmpl-1")
	})
	b.Run("copy", func(b *testing.B) {
		b.ReportAllocs()
		_, _ = io.Copy(io.Discard, io.LimitReader(&repeatReader{s: one}, int64(len(one)*b.N)))
	})
}

// repeatReader is an endless reader that repeats s.
type repeatReader struct {
	s  string
	at int
}

func (r *repeatReader) Read(p []byte) (int, error) {
	n := copy(p, r.s[r.at:])
	r.at = (r.at + n) % len(r.s)
	return n, nil
}
