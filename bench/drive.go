package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/fake/engine"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/stream"
	"mustardvane.org/vane/trace"
)

// Range in microseconds and number of significant digits of the latency histograms.
const (
	histMinMicros = 1
	histMaxMicros = 600_000_000
	histDigits    = 3
)

// reasonConnection is the Result.Reason of a request that could not connect, or
// whose connection was lost before the response headers arrived.
const reasonConnection = "connection"

// Result is the outcome of one request.
type Result struct {
	Request     trace.Request
	RequestID   string
	Status      int             // HTTP status; zero if no response was received
	Reason      string          // why the request was refused or its stream broke off; empty if neither
	Execution   string          // value of the Mustardvane-Execution header; empty if not sent
	Complete    bool            // all tokens arrived in order, with the final event
	Mismatch    string          // how the response differs from the expected one; empty if it does not differ
	FirstToken  time.Duration   // time to the first token, or to the whole body of a plain response; zero if none
	TokenGaps   []time.Duration // times between consecutive tokens
	Tokens      int             // number of tokens received in a stream; zero for a plain response
	LastEventID string          // id of the last event received, for resuming
}

// Caller is a chat client that compares every response with the one that the
// simulated engines should give. It is safe for concurrent use.
type Caller struct {
	http *http.Client
}

// NewCaller returns a Caller with its own connection pool.
func NewCaller() *Caller {
	return &Caller{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxConnsPerHost: 0}}}
}

// Close closes idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// body encodes r as the JSON body of a chat completions request.
func body(r trace.Request) []byte {
	b, _ := json.Marshal(struct {
		Model     string          `json:"model"`
		Messages  []trace.Message `json:"messages"`
		Stream    bool            `json:"stream"`
		MaxTokens int             `json:"max_tokens"`
	}{r.Model, r.Messages(), r.Stream, r.MaxTokens})
	return b
}

// promptHash returns the prompt hash from which engine.Token derives the response.
func promptHash(r trace.Request) uint64 {
	d := xxhash.New()
	for _, m := range r.Messages() {
		_, _ = d.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return d.Sum64()
}

// Send sends r to the node at addr and reads the response.
func (c *Caller) Send(ctx context.Context, addr, key string, r trace.Request) Result {
	return c.SendFrom(ctx, addr, key, r, "", 0)
}

// SendFrom sends r to the node at addr. If lastID is not empty, it resumes a broken
// stream after the event with this id; have is the number of tokens received before.
func (c *Caller) SendFrom(ctx context.Context, addr, key string, r trace.Request, lastID string, have int) Result {
	res := Result{Request: r, LastEventID: lastID}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body(r)))
	if err != nil {
		res.Reason = err.Error()
		return res
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if lastID != "" {
		req.Header.Set("Last-Event-ID", lastID)
	}
	begin := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		res.Reason = reasonConnection
		return res
	}
	defer resp.Body.Close()
	res.Status = resp.StatusCode
	res.RequestID = resp.Header.Get("X-Request-Id")
	res.Execution = resp.Header.Get("Mustardvane-Execution")
	switch {
	case resp.StatusCode != http.StatusOK:
		res.Reason = reasonOf(resp.Body)
	case r.Stream:
		res.readStream(resp.Body, begin, have)
	default:
		res.readPlain(resp.Body, begin)
	}
	return res
}

// reasonOf returns the reason in the body of an error response, or "no_reason".
func reasonOf(r io.Reader) string {
	var b struct {
		Error struct {
			Reason string `json:"reason"`
		} `json:"error"`
	}
	if json.NewDecoder(r).Decode(&b) != nil || b.Error.Reason == "" {
		return "no_reason"
	}
	return b.Error.Reason
}

// chunk is the part of a plain response or a stream event that a caller checks.
type chunk struct {
	ID      string
	Choices []struct {
		Delta        struct{ Content string }
		Message      struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
	Error *struct{ Reason string }
}

// readStream reads a streamed response and compares it with the expected one, from
// token have on.
func (res *Result) readStream(r io.Reader, begin time.Time, have int) {
	rd := stream.NewReader(r)
	hash, n, last, finished := promptHash(res.Request), have, begin, false
	for {
		e, err := rd.Next()
		if err != nil {
			res.Reason = "cut"
			return
		}
		if string(e.Data) == "[DONE]" {
			res.Complete = finished && n == res.Request.MaxTokens
			if !res.Complete {
				res.Mismatch = fmt.Sprintf("[DONE] after %d of %d tokens", n, res.Request.MaxTokens)
			}
			return
		}
		var c chunk
		if json.Unmarshal(e.Data, &c) != nil {
			res.Mismatch = "event is not valid JSON"
			return
		}
		if c.Error != nil {
			res.Reason = c.Error.Reason
			return
		}
		if c.ID != "chatcmpl-"+res.RequestID {
			res.Mismatch = "event carries completion id " + c.ID
			return
		}
		if len(c.Choices) == 0 {
			continue
		}
		res.LastEventID = string(e.ID)
		finished = finished || c.Choices[0].FinishReason != nil
		if c.Choices[0].Delta.Content == "" {
			continue
		}
		if want := engine.Token(hash, n); c.Choices[0].Delta.Content != want {
			res.Mismatch = fmt.Sprintf("token %d is %q, want %q", n, c.Choices[0].Delta.Content, want)
			return
		}
		n++
		res.Tokens++
		now := time.Now()
		if res.FirstToken == 0 {
			res.FirstToken = now.Sub(begin)
		} else {
			res.TokenGaps = append(res.TokenGaps, now.Sub(last))
		}
		last = now
	}
}

// readPlain reads a response that is not streamed and compares it with the expected
// one.
func (res *Result) readPlain(r io.Reader, begin time.Time) {
	b, err := io.ReadAll(r)
	if err != nil {
		res.Reason = "cut"
		return
	}
	var c chunk
	if json.Unmarshal(b, &c) != nil || len(c.Choices) != 1 {
		res.Mismatch = "response is not a chat completion with one choice"
		return
	}
	if c.ID != "chatcmpl-"+res.RequestID {
		res.Mismatch = "response carries completion id " + c.ID
		return
	}
	hash := promptHash(res.Request)
	var want strings.Builder
	for i := range res.Request.MaxTokens {
		want.WriteString(engine.Token(hash, i))
	}
	res.FirstToken = time.Since(begin)
	res.Complete = c.Choices[0].Message.Content == want.String()
	if !res.Complete {
		res.Mismatch = "text differs from the expected tokens"
	}
}

// Report summarizes a run of requests.
type Report struct {
	Requests         int                     // number of requests
	Complete         int                     // number of complete responses
	Mismatches       []string                // how responses differ from the expected ones
	Reasons          map[string]int          // number of failed requests by reason
	HitRate          float64                 // share of the prompt tokens that the engines had cached, since the start of the fleet
	RecomputedTokens int                     // prompt tokens computed although another engine had them cached; not filled in by Drive
	FirstToken       *hdrhistogram.Histogram // in microseconds
	TokenGap         *hdrhistogram.Histogram // in microseconds
	Elapsed          time.Duration
	Results          []Result
}

// Progress is called after each response with the number of finished requests and
// the number of all. Calls do not overlap.
type Progress func(done, all int)

// Drive sends each request at its time after the start of the run, spread over the
// nodes' entry addresses, and waits for all responses. When ctx ends, it sends no
// further requests; they count as neither complete nor refused. p may be nil.
func (f *Fleet) Drive(ctx context.Context, reqs []trace.Request, p Progress) *Report {
	c := NewCaller()
	defer c.Close()
	begin := time.Now()
	results := make([]Result, len(reqs))
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for i, r := range reqs {
		if !clock.SleepUntil(ctx, begin.Add(time.Duration(r.AtMS)*time.Millisecond)) {
			break
		}
		wg.Go(func() {
			results[i] = f.sendWithFailover(ctx, c, i, r)
			mu.Lock()
			defer mu.Unlock()
			done++
			if p != nil {
				p(done, len(reqs))
			}
		})
	}
	wg.Wait()
	rep := summarize(results)
	rep.Elapsed = time.Since(begin)
	rep.HitRate = f.HitRateSince(make(LogOffsets, len(f.Engines)))
	return rep
}

// sendWithFailover sends r to one entry address after another until it connects, as
// a client with several addresses does. It starts at the address with index i modulo
// their number.
func (f *Fleet) sendWithFailover(ctx context.Context, c *Caller, i int, r trace.Request) Result {
	var res Result
	for k := range f.nodeSettings {
		res = c.Send(ctx, f.nodeSettings[(i+k)%len(f.nodeSettings)].Listen.Callers, KeyOf(r.Workspace), r)
		if res.Reason != reasonConnection {
			break
		}
	}
	return res
}

// summarize counts the results and fills the latency histograms.
func summarize(results []Result) *Report {
	rep := &Report{
		Requests: len(results), Reasons: make(map[string]int), Results: results,
		FirstToken: hdrhistogram.New(histMinMicros, histMaxMicros, histDigits), TokenGap: hdrhistogram.New(histMinMicros, histMaxMicros, histDigits),
	}
	for _, r := range results {
		if r.Complete {
			rep.Complete++
		}
		if r.Mismatch != "" {
			rep.Mismatches = append(rep.Mismatches, r.Mismatch)
		}
		if r.Reason != "" {
			rep.Reasons[r.Reason]++
		}
		if r.FirstToken > 0 {
			_ = rep.FirstToken.RecordValue(r.FirstToken.Microseconds())
		}
		for _, g := range r.TokenGaps {
			_ = rep.TokenGap.RecordValue(max(histMinMicros, g.Microseconds()))
		}
	}
	return rep
}

// LogOffsets holds one position in the log of each engine, in the order of
// Fleet.Engines.
type LogOffsets []int

// LogOffsets returns the current ends of the engines' logs, for HitRateSince.
func (f *Fleet) LogOffsets() LogOffsets {
	m := make(LogOffsets, len(f.Engines))
	for i, e := range f.Engines {
		m[i] = len(e.Log())
	}
	return m
}

// HitRateSince returns the share of prompt tokens that the engines found in their
// caches, over the requests logged after the given offsets; zero if there are none.
func (f *Fleet) HitRateSince(m LogOffsets) float64 {
	cached, prompt := 0, 0
	for i, e := range f.Engines {
		for _, l := range e.Log()[m[i]:] {
			cached += l.CachedTokens
			prompt += l.PromptTokens
		}
	}
	if prompt == 0 {
		return 0
	}
	return float64(cached) / float64(prompt)
}

// Quantile returns the value of h at the percentile q, from 0 to 100.
func Quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// EntryAddresses asks the node at addr for the addresses of the fleet to which callers
// should send requests. The error has KindUnavailable if the node does not respond.
func (c *Caller) EntryAddresses(ctx context.Context, addr string) ([]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/entries", nil)
	if err != nil {
		return nil, errors.Wrap(err, "bench: read entry addresses")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, vane.Errorf(vane.KindUnavailable, "bench.entries", "ask another node", "node %s did not respond", addr).WithCause(err)
	}
	defer resp.Body.Close()
	var list struct {
		Entries []struct {
			Addr string `json:"addr"`
		} `json:"entries"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "bench: read entry addresses")
	}
	var out []string
	for _, e := range list.Entries {
		out = append(out, e.Addr)
	}
	return out, nil
}
