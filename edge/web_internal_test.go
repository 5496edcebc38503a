package edge

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/memory"
)

// A request that arrives just when a stopping node closes its connections is answered.
func TestRequestAtTheEndOfAPlannedStop(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	l := newListener("callers", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		time.Sleep(2 * drainMargin / 3)
		_, _ = io.WriteString(w, "answer")
	}), memory.New(1<<20), 16)
	is.NoErr(l.start())
	got := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + l.ln.Addr().String())
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			got <- err.Error()
			return
		}
		got <- string(b)
	}()
	<-begun
	l.stopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	l.close(ctx)
	is.Equal(<-got, "answer")
}

// A request that outlasts the time of the stop does not keep the node.
func TestRequestThatOutlastsAPlannedStop(t *testing.T) {
	is := is.New(t)
	begun, end := make(chan struct{}), make(chan struct{})
	l := newListener("callers", "127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-end
	}), memory.New(1<<20), 16)
	is.NoErr(l.start())
	go func() {
		resp, err := http.Get("http://" + l.ln.Addr().String())
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-begun
	l.stopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	at := time.Now()
	l.close(ctx)
	is.True(time.Since(at) < 3*time.Second)
	close(end)
}
