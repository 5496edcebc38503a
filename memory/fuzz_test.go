package memory

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"
)

// fragments reads data in pieces whose sizes the steps state.
type fragments struct {
	data, steps []byte
	at          int
}

// Read implements io.Reader.
func (f *fragments) Read(p []byte) (int, error) {
	if len(f.data) == 0 {
		return 0, io.EOF
	}
	n := len(f.data)
	if len(f.steps) > 0 {
		n = 1 + int(f.steps[f.at%len(f.steps)])
		f.at++
	}
	n = copy(p, f.data[:min(n, len(f.data))])
	f.data = f.data[n:]
	return n, nil
}

// FuzzBody reads the bodies of requests, with a length or in chunks, in fragments. What is read
// must be the same as without a budget, and no more may be held than was granted.
func FuzzBody(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"), []byte{0})
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40\r\n\r\nbody"), []byte{3, 1})
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n3\r\nbcd\r\n0\r\n\r\n"), []byte{0})
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\na"), []byte{9})
	f.Add(append([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n"), bytes.Repeat([]byte{'.'}, 0x8000)...), []byte{200})
	f.Fuzz(func(t *testing.T, data, steps []byte) {
		const limit = 64 << 10
		read := func(f func(r *http.Request) ([]byte, error)) ([]byte, bool) {
			r, err := http.ReadRequest(bufio.NewReader(&fragments{data: data, steps: steps}))
			if err != nil {
				return nil, false
			}
			r.Body = http.MaxBytesReader(nil, r.Body, limit)
			b, err := f(r)
			return b, err == nil
		}
		want, wantOK := read(func(r *http.Request) ([]byte, error) { return io.ReadAll(r.Body) })
		b := New(2 * limit)
		h := b.Open(Class{Kind: KindBody})
		got, ok := read(func(r *http.Request) ([]byte, error) {
			got, err := h.ReadAll(r.Body, r.ContentLength, limit)
			if int64(cap(got)) > h.Bytes() {
				t.Fatalf("%d bytes are held, %d were granted", cap(got), h.Bytes())
			}
			return got, err
		})
		if ok != wantOK || ok && !bytes.Equal(got, want) {
			t.Fatalf("got %d bytes, %t; want %d bytes, %t", len(got), ok, len(want), wantOK)
		}
		if b.Used() > b.Capacity() {
			t.Fatalf("%d bytes are granted of %d", b.Used(), b.Capacity())
		}
		if h.Close(); b.Used() != 0 {
			t.Fatalf("%d bytes are left", b.Used())
		}
	})
}

// FuzzHead feeds the bytes of a request's head to a connection in fragments. All bytes of the head
// beyond those of any connection must be granted, whatever they are, and returned at its end.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), []byte{0})
	f.Add(bytes.Repeat([]byte("A: b\r\n"), 300), []byte{100})
	f.Add(bytes.Repeat([]byte("\n"), 300), []byte{7})
	f.Add(append(bytes.Repeat([]byte("x"), 6<<10), "\r\n\r\nbody"...), []byte{255})
	f.Fuzz(func(t *testing.T, data, steps []byte) {
		b := New(1 << 20)
		l := b.Listen(nil, "fuzz", 1)
		c := &conn{l: l}
		in := &fragments{data: data, steps: steps}
		buf := make([]byte, 4<<10)
		seen := int64(0)
		for {
			n, err := in.Read(buf)
			if err != nil {
				break
			}
			if c.headDone {
				break
			}
			seen += int64(n)
			if _, err := c.arrived(buf[:n]); err != nil {
				break
			}
			if c.lines > maxHeaders+1 {
				t.Fatalf("%d lines were taken", c.lines)
			}
			if beyond := seen - freeHeadBytes; c.head.Bytes() < beyond {
				t.Fatalf("%d bytes beyond the free ones, %d were granted", beyond, c.head.Bytes())
			}
		}
		if b.Used() > b.Capacity() {
			t.Fatalf("%d bytes are granted of %d", b.Used(), b.Capacity())
		}
		if c.idle(); b.Used() != 0 {
			t.Fatalf("%d bytes are left", b.Used())
		}
	})
}

// FuzzBudget runs operations on a budget. It must not grant more than it has, and must get all of
// it back.
func FuzzBudget(f *testing.F) {
	f.Add([]byte{0, 10, 1, 200, 2, 0, 0, 255, 3, 1})
	f.Fuzz(func(t *testing.T, ops []byte) {
		b, c := newTestBudget(256 << 10)
		holds := make([]*Hold, 4)
		for i := range holds {
			holds[i] = b.Open(Class{Kind: KindBody, Priority: i % 2})
			// Holders close at once, as if their reads had been interrupted.
			holds[i].OnEvict(func() { go holds[i].Close() })
		}
		for ; len(ops) >= 2; ops = ops[2:] {
			h, n := holds[ops[0]%4], int64(ops[1])<<10
			h.b.mu.Lock()
			closed := h.closed
			h.b.mu.Unlock()
			switch ops[0] / 4 % 5 {
			case 0:
				if !closed {
					_ = h.TryGrow(n) // may be refused
				}
			case 1:
				h.Shrink(n)
			case 2:
				c.add(time.Duration(n) * time.Millisecond)
				b.Sweep()
			case 3:
				_ = h.Pin() // may be evicted
			case 4:
				h.Close()
			}
			if used := b.Used(); used < 0 || used > b.Capacity() {
				t.Fatalf("%d bytes are granted of %d", used, b.Capacity())
			}
		}
		for _, h := range holds {
			h.Close()
		}
		if b.Used() != 0 || b.large != 0 || b.larges != 0 || b.leaving != 0 {
			t.Fatalf("left: %d used, %d large of %d, %d leaving", b.used, b.large, b.larges, b.leaving)
		}
	})
}
