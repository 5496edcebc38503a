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

// Bounds of the histograms, in microseconds.
const (
	histMin    = 1
	histMax    = 600_000_000
	histDigits = 3
)

// reasonConnection marks a request for which no connection could be made, or whose
// connection was lost before an answer began.
const reasonConnection = "connection"

// Result is what came of one request.
type Result struct {
	Request     trace.Request
	RequestID   string
	Status      int
	Reason      string        // of a refusal or a broken stream
	Execution   string        // as stated by a refusal
	Complete    bool          // all tokens in order and the final event
	Mismatch    string        // what was wrong with an answer that claimed to be complete
	FirstToken  time.Duration // time to the first token
	TokenGaps   []time.Duration
	Tokens      int
	LastEventID string // id of the last event
}

// Caller sends chat requests to a fleet and checks the answers.
type Caller struct {
	http *http.Client
}

// NewCaller returns a caller.
func NewCaller() *Caller {
	return &Caller{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxConnsPerHost: 0}}}
}

// Close drops idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// body returns the JSON body of a trace's request.
func body(r trace.Request) []byte {
	b, _ := json.Marshal(struct {
		Model     string          `json:"model"`
		Messages  []trace.Message `json:"messages"`
		Stream    bool            `json:"stream"`
		MaxTokens int             `json:"max_tokens"`
	}{r.Model, r.Messages(), r.Stream, r.MaxTokens})
	return b
}

// promptHash returns what the engine's words depend on.
func promptHash(r trace.Request) uint64 {
	d := xxhash.New()
	for _, m := range r.Messages() {
		_, _ = d.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return d.Sum64()
}

// Send sends the request to a node and reads the answer.
func (c *Caller) Send(ctx context.Context, addr, key string, r trace.Request) Result {
	return c.SendFrom(ctx, addr, key, r, "", 0)
}

// SendFrom sends the request to a node, going on after the event lastID, of
// which the caller has the first have tokens.
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

// reasonOf reads the reason of a refusal.
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

// chunk is what a caller reads of one event.
type chunk struct {
	ID      string
	Choices []struct {
		Delta        struct{ Content string }
		Message      struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
	Error *struct{ Reason string }
}

// readStream reads a streamed answer and compares it with the right one.
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
			res.Mismatch = "event is not JSON"
			return
		}
		if c.Error != nil {
			res.Reason = c.Error.Reason
			return
		}
		if c.ID != "chatcmpl-"+res.RequestID {
			res.Mismatch = "an event of answer " + c.ID
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

// readPlain reads a plain answer and compares it with the right one.
func (res *Result) readPlain(r io.Reader, begin time.Time) {
	b, err := io.ReadAll(r)
	if err != nil {
		res.Reason = "cut"
		return
	}
	var c chunk
	if json.Unmarshal(b, &c) != nil || len(c.Choices) != 1 {
		res.Mismatch = "answer is not a completion"
		return
	}
	if c.ID != "chatcmpl-"+res.RequestID {
		res.Mismatch = "answer " + c.ID
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
		res.Mismatch = "text differs"
	}
}

// Report sums up a run.
type Report struct {
	Requests         int
	Complete         int
	Mismatches       []string
	Reasons          map[string]int
	HitRate          float64 // cached prompt tokens of all prompt tokens
	RecomputedTokens int     // prompt tokens computed though some engine held them
	FirstToken       *hdrhistogram.Histogram
	TokenGap         *hdrhistogram.Histogram
	Elapsed          time.Duration
	Results          []Result
}

// Progress is called while a run goes on.
type Progress func(done, all int)

// Drive sends the requests at their times, spread over the nodes' entry
// addresses, and waits for all answers.
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
			results[i] = f.sendSomewhere(ctx, c, i, r)
			mu.Lock()
			defer mu.Unlock()
			done++
			if p != nil {
				p(done, len(reqs))
			}
		})
	}
	wg.Wait()
	rep := sum(results)
	rep.Elapsed = time.Since(begin)
	rep.HitRate = f.HitRateSince(make(LogOffsets, len(f.Engines)))
	return rep
}

// sendSomewhere sends the request to one entry address after another until it can
// connect, as a caller does that holds several.
func (f *Fleet) sendSomewhere(ctx context.Context, c *Caller, i int, r trace.Request) Result {
	var res Result
	for k := range f.set {
		res = c.Send(ctx, f.set[(i+k)%len(f.set)].Listen.Callers, KeyOf(r.Workspace), r)
		if res.Reason != reasonConnection {
			break
		}
	}
	return res
}

// sum adds the results up.
func sum(results []Result) *Report {
	rep := &Report{
		Requests: len(results), Reasons: make(map[string]int), Results: results,
		FirstToken: hdrhistogram.New(histMin, histMax, histDigits), TokenGap: hdrhistogram.New(histMin, histMax, histDigits),
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
			_ = rep.TokenGap.RecordValue(max(histMin, g.Microseconds()))
		}
	}
	return rep
}

// LogOffsets is a place in the engines' logs.
type LogOffsets []int

// LogOffsets returns the present end of the engines' logs.
func (f *Fleet) LogOffsets() LogOffsets {
	m := make(LogOffsets, len(f.Engines))
	for i, e := range f.Engines {
		m[i] = len(e.Log())
	}
	return m
}

// HitRateSince returns the share of prompt tokens that the engines had cached
// since the mark.
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

// Quantile returns a quantile of a histogram, in percent, as a duration.
func Quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// EntryAddresses asks a node which addresses to use.
func (c *Caller) EntryAddresses(ctx context.Context, addr string) ([]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/entries", nil)
	if err != nil {
		return nil, errors.Wrap(err, "bench: entries")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, vane.Errorf(vane.KindUnavailable, "bench.entries", "ask another node", "node %s does not answer", addr).WithCause(err)
	}
	defer resp.Body.Close()
	var list struct {
		Entries []struct {
			Addr string `json:"addr"`
		} `json:"entries"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "bench: entries")
	}
	var out []string
	for _, e := range list.Entries {
		out = append(out, e.Addr)
	}
	return out, nil
}
