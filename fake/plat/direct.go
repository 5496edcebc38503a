package plat

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// NetworkFaults are the faults between a client and the platform.
type NetworkFaults struct {
	MaxDelay       time.Duration // of a call and of its answer
	RequestLoss    float64       // share of calls that never arrive
	ResponseLoss   float64       // share of answers that never arrive
	LateWriteShare float64       // share of dropped writes that arrive later all the same
}

// Transport is a transport that calls a platform without sockets, so that tests can
// run in virtual time. It implements http.RoundTripper.
type Transport struct {
	p   *Platform
	mu  sync.Mutex
	rnd *rand.Rand
	net NetworkFaults
}

// NewTransport returns a transport to p.
func NewTransport(p *Platform, seed uint64) *Transport {
	return &Transport{p: p, rnd: rand.New(rand.NewPCG(seed, 0x646972))}
}

// SetNetworkFaults replaces the faults in effect.
func (d *Transport) SetNetworkFaults(n NetworkFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.net = n
}

// draw decides what happens to one call.
func (d *Transport) draw() (there, back, late time.Duration, dropCall, dropBack, arrives bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delay := func(most time.Duration) time.Duration {
		if most <= 0 {
			return 0
		}
		return time.Duration(d.rnd.Int64N(int64(most)))
	}
	return delay(d.net.MaxDelay), delay(d.net.MaxDelay), delay(20 * d.net.MaxDelay),
		d.rnd.Float64() < d.net.RequestLoss, d.rnd.Float64() < d.net.ResponseLoss, d.rnd.Float64() < d.net.LateWriteShare
}

// errLost is the error of a call or an answer that did not arrive.
var errLost = errors.New("connection reset")

// RoundTrip implements http.RoundTripper.
func (d *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	there, back, late, dropCall, dropBack, arrives := d.draw()
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	time.Sleep(there)
	if dropCall {
		if arrives && r.Method != http.MethodGet {
			go func() {
				time.Sleep(late)
				_, _ = d.serve(r, body)
			}()
		}
		return nil, errLost
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	resp, err := d.serve(r, body)
	time.Sleep(back)
	if err == nil && dropBack {
		err = errLost
	}
	if late := r.Context().Err(); late != nil {
		err = late
	}
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// serve lets the platform handle the call. A connection that the platform cuts
// becomes an error.
func (d *Transport) serve(r *http.Request, body []byte) (resp *http.Response, err error) {
	defer func() {
		if v := recover(); v != nil {
			err = errLost
		}
	}()
	req := r.Clone(r.Context())
	req.Body = io.NopCloser(bytes.NewReader(body))
	rec := httptest.NewRecorder()
	d.p.ServeHTTP(rec, req)
	return rec.Result(), nil
}
