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

// NetworkFaults are the faults between a client and the platform. Losses and shares are
// probabilities from 0 to 1. The zero value injects none.
type NetworkFaults struct {
	MaxDelay       time.Duration // maximum delay of a request, and of its response
	RequestLoss    float64       // share of requests that the platform does not receive
	ResponseLoss   float64       // share of responses that the client does not receive
	LateWriteShare float64       // share of lost writes that the platform still receives, up to 20 times MaxDelay later
}

// Transport is an http.RoundTripper that calls a Platform without sockets, so that tests
// can run in virtual time. It is safe for concurrent use.
type Transport struct {
	platform *Platform
	mu       sync.Mutex
	rng      *rand.Rand
	faults   NetworkFaults
}

// NewTransport returns a transport to p without faults. The seed determines the random
// faults and delays.
func NewTransport(p *Platform, seed uint64) *Transport {
	return &Transport{platform: p, rng: rand.New(rand.NewPCG(seed, 0x646972))}
}

// SetNetworkFaults replaces the injected faults.
func (t *Transport) SetNetworkFaults(n NetworkFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = n
}

// drawFaults chooses the delays and losses of one request at random.
func (t *Transport) drawFaults() (requestDelay, responseDelay, lateDelay time.Duration, loseRequest, loseResponse, arrivesLate bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delay := func(limit time.Duration) time.Duration {
		if limit <= 0 {
			return 0
		}
		return time.Duration(t.rng.Int64N(int64(limit)))
	}
	return delay(t.faults.MaxDelay), delay(t.faults.MaxDelay), delay(20 * t.faults.MaxDelay),
		t.rng.Float64() < t.faults.RequestLoss, t.rng.Float64() < t.faults.ResponseLoss, t.rng.Float64() < t.faults.LateWriteShare
}

// errLost is the error of a request or response that was lost.
var errLost = errors.New("connection reset")

// RoundTrip implements http.RoundTripper. It fails with errLost if the request or the
// response is lost, and with the context's error if that ends first.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	requestDelay, responseDelay, lateDelay, loseRequest, loseResponse, arrivesLate := t.drawFaults()
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	time.Sleep(requestDelay)
	if loseRequest {
		if arrivesLate && r.Method != http.MethodGet {
			go func() {
				time.Sleep(lateDelay)
				_, _ = t.serve(r, body)
			}()
		}
		return nil, errLost
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	resp, err := t.serve(r, body)
	time.Sleep(responseDelay)
	if err == nil && loseResponse {
		err = errLost
	}
	if ctxErr := r.Context().Err(); ctxErr != nil {
		err = ctxErr
	}
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// serve passes the request to the platform. It returns errLost if the platform aborts
// the connection.
func (t *Transport) serve(r *http.Request, body []byte) (resp *http.Response, err error) {
	defer func() {
		if v := recover(); v != nil {
			err = errLost
		}
	}()
	req := r.Clone(r.Context())
	req.Body = io.NopCloser(bytes.NewReader(body))
	rec := httptest.NewRecorder()
	t.platform.ServeHTTP(rec, req)
	resp = rec.Result()
	resp.ContentLength = int64(rec.Body.Len()) // as a server states it that has the whole body
	return resp, nil
}
