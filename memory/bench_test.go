package memory

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// BenchmarkBodies sends ordinary bodies of 40 KB, the size of a long prompt, over kept connections,
// to a server with and without a budget and limits. It reports the latency of 99 % of the requests.
func BenchmarkBodies(b *testing.B) {
	body := bytes.Repeat([]byte{'.'}, 40<<10)
	for _, with := range []bool{false, true} {
		name := "without"
		if with {
			name = "with"
		}
		b.Run(name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) })}
			if with {
				budget := New(20 << 20)
				srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					h := budget.OpenBody(r.Context(), 1)
					defer h.Close()
					rc := http.NewResponseController(w)
					h.OnEvict(func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
					if _, err := h.ReadAll(r.Body, r.ContentLength, 4<<20); err != nil || h.Pin() != nil {
						w.WriteHeader(503)
					}
				})
				Attach(srv)
				ln = budget.Listen(ln, "bench", 1000)
			}
			go func() { _ = srv.Serve(ln) }()
			defer srv.Close()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			defer client.CloseIdleConnections()
			var mu sync.Mutex
			var took []time.Duration
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				var own []time.Duration
				for pb.Next() {
					begin := time.Now()
					resp, err := client.Post("http://"+ln.Addr().String(), "text/plain", bytes.NewReader(body))
					if err != nil {
						b.Error(err)
						return
					}
					_ = resp.Body.Close()
					if resp.StatusCode != 200 {
						b.Error(resp.StatusCode)
					}
					own = append(own, time.Since(begin))
				}
				mu.Lock()
				defer mu.Unlock()
				took = append(took, own...)
			})
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}
