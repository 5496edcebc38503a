package route

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/conns"
	"mustardvane.org/vane/event"
	"mustardvane.org/vane/hosts"
)

// noPlacer ignores the list of upstreams.
type noPlacer struct{ vane.Placer }

// Update implements vane.Placer.
func (noPlacer) Update(time.Time, []vane.Upstream) {}

// instance is an instance of a plain service that writes responses without framing.
type instance struct {
	ln          net.Listener
	incarnation atomic.Uint64 // that it states on calls for its load; zero if it does not know the call
	silent      atomic.Bool   // it does not answer such calls
	head        string        // further header lines of its responses
	end         func(c net.Conn)
}

// startInstance starts an instance that calls end after the beginning of a response.
func startInstance(t *testing.T, head string, end func(s *instance, c net.Conn)) *instance {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &instance{ln: ln, head: head}
	s.end = func(c net.Conn) { end(s, c) }
	s.incarnation.Store(1)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// serve answers the first request of a connection. It does not read a long body.
func (s *instance) serve(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 1024))
	if err != nil {
		_ = c.Close()
		return
	}
	if r.ContentLength < 1024 {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if r.URL.Path != "/v1/load" {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+s.head+"\r\n")
		if r.Method != http.MethodHead {
			_, _ = io.WriteString(c, "some bytes")
		}
		s.end(c)
		return
	}
	defer c.Close()
	n := s.incarnation.Load()
	switch {
	case s.silent.Load():
		time.Sleep(2 * probeTimeout)
	case n == 0:
		_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}")
	default:
		body := fmt.Sprintf(`{"incarnation":%d}`, n)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// call sends a call to the instance, which is listed with the incarnation. Without a body
// its method is HEAD.
func (s *instance) call(t *testing.T, listed uint64, body []byte) (Result, error) {
	t.Helper()
	rec := event.NewRing("n1", 64)
	dir := hosts.New(nil, noPlacer{}, rec)
	dir.SetUpstreams([]vane.Upstream{{Name: "s1", Addr: s.ln.Addr().String(), Role: vane.RoleService, Service: "s", Incarnation: listed}})
	rt := New(noPlacer{}, dir, rec)
	defer rt.Close()
	method := http.MethodPost
	if body == nil {
		method = http.MethodHead
	}
	return rt.Call(t.Context(), Call{Service: "s", Method: method, Path: "/x", Header: http.Header{}, Body: body, Begin: time.Now()})
}

// A response without framing is whole only if the process that wrote it still runs at its
// end. Otherwise the call may have run and has no result.
func TestEndOfUnframedResponse(t *testing.T) {
	for _, tt := range []struct {
		name   string
		listed uint64
		head   string
		end    func(s *instance)
		whole  bool
	}{
		{"the same process", 1, "", func(*instance) {}, true},
		{"the same process, which the list does not show yet", 1, "Engine-Incarnation: 2\r\n", func(s *instance) { s.incarnation.Store(2) }, true},
		{"another process at its address", 1, "", func(s *instance) { s.incarnation.Store(2) }, false},
		{"another process that is listed already", 2, "Engine-Incarnation: 1\r\n", func(s *instance) { s.incarnation.Store(2) }, false},
		{"nothing at its address", 1, "", func(s *instance) { _ = s.ln.Close() }, false},
		{"a host that is silent", 1, "", func(s *instance) { s.silent.Store(true) }, false},
		{"a process that states no incarnation", 1, "", func(s *instance) { s.incarnation.Store(0) }, false},
		{"a process whose incarnation is not known", 0, "", func(s *instance) { s.incarnation.Store(0) }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startInstance(t, tt.head, func(s *instance, c net.Conn) { tt.end(s); _ = c.Close() })
			res, err := s.call(t, tt.listed, []byte("{}"))
			if !tt.whole {
				is.True(err != nil) // else a part may look whole
				is.Equal(refusal(err).Execution, vane.MayHaveRun)
				return
			}
			is.NoErr(err)
			is.Equal(string(res.Body), "some bytes")
			is.Equal(res.Framing, conns.FramingClose)
		})
	}
}

// A response to HEAD has no body whose end could be missing.
func TestHeadNeedsNoProof(t *testing.T) {
	is := is.New(t)
	s := startInstance(t, "", func(_ *instance, c net.Conn) { _ = c.Close() })
	s.incarnation.Store(0)
	res, err := s.call(t, 1, nil)
	is.NoErr(err)
	is.Equal(len(res.Body), 0)
}

// Linux reports a reset to one call of a socket: if a write takes it, a read sees an
// orderly end.
func TestResetDuringTheWriteLooksWhole(t *testing.T) {
	const calls = 40
	whole := 0
	for range calls {
		s := startInstance(t, "", func(_ *instance, c net.Conn) {
			time.Sleep(2 * time.Millisecond) // the caller reads the beginning, and its write blocks
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		if _, err := s.call(t, 1, make([]byte, 16<<20)); err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d responses look whole", whole, calls)
	}
}
