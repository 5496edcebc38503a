package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardvane.org/vane/fake"
	"mustardvane.org/vane/internal/clock"
)

// job is the state of one request in the engine.
type job struct {
	req          chatRequest
	completionID string
	promptText   string
	promptHash   uint64
	promptTokens int
	cachedTokens int
	faults       Faults
	logIndex     int // index of the request in Engine.log
	arrivedAt    time.Time
}

// chat handles POST /v1/chat/completions.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	j := &job{arrivedAt: time.Now()}
	if err := json.NewDecoder(r.Body).Decode(&j.req); err != nil || len(j.req.Messages) == 0 {
		http.Error(w, `{"error":{"message":"bad request"}}`, http.StatusBadRequest)
		return
	}
	j.promptText = j.req.promptText()
	j.promptHash = xxhash.Sum64String(j.promptText)
	j.promptTokens = (len(j.promptText) + bytesPerToken - 1) / bytesPerToken
	j.completionID = "chatcmpl-" + r.Header.Get(HeaderRequestID)
	j.faults = e.faultsFor(j.promptText)
	if e.refuse(w, j) {
		return
	}
	if !e.batch.acquireSlot(r.Context(), j.req.Priority) {
		return
	}
	defer e.batch.releaseSlot()
	e.recordLoad()
	if !e.doPrefill(r, j) {
		return
	}
	if e.chance(j.faults.WrongIDShare) {
		j.completionID = "chatcmpl-other"
	}
	e.respond(w, r, j)
}

// faultsFor returns the faults that apply to a prompt. OnlyPromptsWith does not
// restrict CrashOn and Draining.
func (e *Engine) faultsFor(text string) Faults {
	f := e.Faults()
	if f.OnlyPromptsWith != "" && !strings.Contains(text, f.OnlyPromptsWith) {
		return Faults{CrashOn: f.CrashOn, Draining: f.Draining}
	}
	return f
}

// refuse applies the faults that end a request before it gets a slot. It reports
// whether it has sent a response. On a crash it aborts the connection and does not return.
func (e *Engine) refuse(w http.ResponseWriter, j *job) bool {
	switch {
	case j.faults.CrashOn != "" && strings.Contains(j.promptText, j.faults.CrashOn):
		e.onCrash()
		fake.AbortConnection(w)
	case j.faults.Draining:
		w.Header().Set(HeaderDraining, "1")
		http.Error(w, `{"error":{"message":"draining"}}`, http.StatusServiceUnavailable)
		return true
	case e.chance(j.faults.FailShare):
		http.Error(w, `{"error":{"message":"internal"}}`, http.StatusInternalServerError)
		return true
	case e.chance(j.faults.EmptyShare):
		w.WriteHeader(http.StatusOK)
		return true
	}
	return false
}

// lookUpAndLog looks the prompt up in the prefix cache and logs the request.
func (e *Engine) lookUpAndLog(j *job, r *http.Request) {
	hashes := blockHashes(j.req.CacheSalt, j.promptText, e.blockTokens)
	j.cachedTokens = e.cache.lookup(hashes) * e.blockTokens
	j.logIndex = e.appendLog(LogEntry{
		ArrivedAt: j.arrivedAt, RequestID: r.Header.Get(HeaderRequestID), Workspace: r.Header.Get(HeaderWorkspace),
		PromptTokens: j.promptTokens, CachedTokens: j.cachedTokens, ResumeOffset: j.req.ResumeOffset,
	})
}

// doPrefill waits for the prompt's turn, simulates the prefill of the part that is not
// cached and stores the prompt in the cache. It returns false if the request was
// cancelled before.
func (e *Engine) doPrefill(r *http.Request, j *job) bool {
	ctx := r.Context()
	if !e.batch.beginPrefill(ctx, j.req.Priority) {
		return false
	}
	defer e.batch.endPrefill()
	e.lookUpAndLog(j, r)
	if j.faults.Hang {
		<-ctx.Done()
		return false
	}
	d := time.Duration(float64(j.promptTokens-j.cachedTokens) / e.prefillRate * float64(time.Second) * j.slowFactor())
	if !clock.Sleep(ctx, d) {
		return false
	}
	e.cache.store(blockHashes(j.req.CacheSalt, j.promptText, e.blockTokens))
	return true
}

// slowFactor returns the factor by which prefill and decode take longer.
func (j *job) slowFactor() float64 {
	if j.faults.SlowFactor <= 0 {
		return 1
	}
	return j.faults.SlowFactor
}

// usage returns the token accounting after n generated tokens.
func (j *job) usage(n int) *usage {
	return &usage{
		PromptTokens: j.promptTokens, CompletionTokens: n, TotalTokens: j.promptTokens + n,
		Details: promptDetails{CachedTokens: j.cachedTokens},
	}
}

// setHeaders sets the response headers that describe the engine's state.
func (e *Engine) setHeaders(h http.Header) {
	running, waiting := e.batch.load()
	e.mu.Lock()
	defer e.mu.Unlock()
	h.Set(HeaderIncarnation, strconv.FormatUint(e.incarnation, 10))
	h.Set(HeaderVersion, e.version)
	h.Set(HeaderLoad, fmt.Sprintf("%d/%d", running, waiting))
	if e.faults.Draining {
		h.Set(HeaderDraining, "1")
	}
}

// respond generates the tokens and sends them, plain or streamed.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, j *job) {
	e.setHeaders(w.Header())
	if j.req.Stream {
		e.stream(w, r, j)
		return
	}
	var b strings.Builder
	n := j.req.outputTokens()
	for i := range n {
		if !clock.Sleep(r.Context(), e.tokenGap(j)) {
			return
		}
		b.WriteString(Token(j.promptHash, i))
	}
	e.setGenerated(j.logIndex, n)
	stop := "stop"
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{
		ID: j.completionID, Object: "chat.completion", Created: time.Now().Unix(), Model: e.model, Usage: j.usage(n),
		Choices: []choice{{Message: &message{Role: "assistant", Content: b.String()}, FinishReason: &stop}},
	})
}

// tokenGap returns the time between two tokens. It grows linearly with the running
// requests, from half of the configured gap to all of it with a full batch,
// multiplied by the slow factor.
func (e *Engine) tokenGap(j *job) time.Duration {
	running, _ := e.batch.load()
	loadFactor := 1 + float64(running)/float64(e.slots)
	return time.Duration(float64(e.baseTokenGap) * loadFactor / 2 * j.slowFactor())
}

// stream sends the response as one event per token, from the resume offset on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job) {
	w.Header().Set("Content-Type", "text/event-stream")
	s := &sender{w: w, f: w.(http.Flusher), id: j.completionID, model: e.model, created: time.Now().Unix()}
	n := j.req.outputTokens()
	for i := j.req.ResumeOffset; i < n; i++ {
		if !clock.Sleep(r.Context(), e.tokenGap(j)) {
			return
		}
		if j.faults.CutAfterTokens > 0 && i-j.req.ResumeOffset >= j.faults.CutAfterTokens {
			fake.AbortConnection(w)
		}
		if j.faults.MalformedEvent && i == n/2 {
			s.write("data: {\"id\": broken\n\n")
		}
		s.token(i, Token(j.promptHash, i))
		e.setGenerated(j.logIndex, i-j.req.ResumeOffset+1)
	}
	s.finish(n)
	if j.req.StreamOptions != nil && j.req.StreamOptions.IncludeUsage {
		s.usage(n+1, j.usage(n))
	}
	s.write("data: [DONE]\n\n")
}

// sender writes the events of one stream and flushes each of them.
type sender struct {
	w       http.ResponseWriter
	f       http.Flusher
	id      string
	model   string
	created int64
}

func (s *sender) write(text string) {
	_, _ = s.w.Write([]byte(text))
	s.f.Flush()
}

func (s *sender) event(seq int, c completion) {
	c.ID, c.Object, c.Created, c.Model = s.id, "chat.completion.chunk", s.created, s.model
	b, _ := json.Marshal(c)
	s.write(fmt.Sprintf("id: %d\ndata: %s\n\n", seq, b))
}

func (s *sender) token(seq int, text string) {
	s.event(seq, completion{Choices: []choice{{Delta: &message{Content: text}}}})
}

func (s *sender) finish(seq int) {
	stop := "stop"
	s.event(seq, completion{Choices: []choice{{Delta: &message{}, FinishReason: &stop}}})
}

func (s *sender) usage(seq int, u *usage) {
	s.event(seq, completion{Choices: []choice{}, Usage: u})
}
