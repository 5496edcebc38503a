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

// job is one request in the engine.
type job struct {
	req    chatRequest
	id     string // answer id
	text   string
	hash   uint64 // of the prompt, for the words
	prompt int    // tokens
	cached int    // tokens
	faults Faults
	entry  int // index in the log
	at     time.Time
}

// chat answers POST /v1/chat/completions.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	j := &job{at: time.Now()}
	if err := json.NewDecoder(r.Body).Decode(&j.req); err != nil || len(j.req.Messages) == 0 {
		http.Error(w, `{"error":{"message":"bad request"}}`, http.StatusBadRequest)
		return
	}
	j.text = j.req.text()
	j.hash = xxhash.Sum64String(j.text)
	j.prompt = (len(j.text) + bytesPerToken - 1) / bytesPerToken
	j.id = "chatcmpl-" + r.Header.Get(HeaderRequestID)
	j.faults = e.faultsFor(j.text)
	if e.refuse(w, j) {
		return
	}
	if !e.batch.enter(r.Context(), j.req.Priority) {
		return
	}
	defer e.batch.leave()
	e.noteLoad()
	if !e.doPrefill(r, j) {
		return
	}
	if e.chance(j.faults.WrongIDShare) {
		j.id = "chatcmpl-other"
	}
	e.answer(w, r, j)
}

// faultsFor returns the faults that meet a prompt.
func (e *Engine) faultsFor(text string) Faults {
	f := e.Faults()
	if f.OnlyPromptsWith != "" && !strings.Contains(text, f.OnlyPromptsWith) {
		return Faults{CrashOn: f.CrashOn, Draining: f.Draining}
	}
	return f
}

// refuse plays the faults that end a request before it runs.
func (e *Engine) refuse(w http.ResponseWriter, j *job) bool {
	switch {
	case j.faults.CrashOn != "" && strings.Contains(j.text, j.faults.CrashOn):
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

// start looks the prompt up in the cache and logs the request.
func (e *Engine) start(j *job, r *http.Request) {
	hashes := chain(j.req.CacheSalt, j.text, e.piece)
	j.cached = e.cache.lookup(hashes) * e.piece
	j.entry = e.record(LogEntry{
		ArrivedAt: j.at, RequestID: r.Header.Get(HeaderRequestID), Workspace: r.Header.Get(HeaderWorkspace),
		PromptTokens: j.prompt, CachedTokens: j.cached, ResumeOffset: j.req.ResumeOffset,
	})
}

// doPrefill computes the part of the prompt that is not cached when its turn
// comes, one prompt at a time.
func (e *Engine) doPrefill(r *http.Request, j *job) bool {
	ctx := r.Context()
	if !e.batch.beginPrefill(ctx, j.req.Priority) {
		return false
	}
	defer e.batch.endPrefill()
	e.start(j, r)
	if j.faults.Hang {
		<-ctx.Done()
		return false
	}
	d := time.Duration(float64(j.prompt-j.cached) / e.prefill * float64(time.Second) * j.slow())
	if !clock.Sleep(ctx, d) {
		return false
	}
	e.cache.store(chain(j.req.CacheSalt, j.text, e.piece))
	return true
}

// slow returns the factor on all times.
func (j *job) slow() float64 {
	if j.faults.SlowFactor <= 0 {
		return 1
	}
	return j.faults.SlowFactor
}

// usage returns the accounting after n generated tokens.
func (j *job) usage(n int) *usage {
	return &usage{
		PromptTokens: j.prompt, CompletionTokens: n, TotalTokens: j.prompt + n,
		Details: promptDetails{CachedTokens: j.cached},
	}
}

// header sets what the engine tells about itself on each answer.
func (e *Engine) header(h http.Header) {
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

// answer sends the plain or the streamed answer.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, j *job) {
	e.header(w.Header())
	if j.req.Stream {
		e.stream(w, r, j)
		return
	}
	var b strings.Builder
	n := j.req.tokens()
	for i := range n {
		if !clock.Sleep(r.Context(), e.tokenGap(j)) {
			return
		}
		b.WriteString(Token(j.hash, i))
	}
	e.generated(j.entry, n)
	stop := "stop"
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{
		ID: j.id, Object: "chat.completion", Created: time.Now().Unix(), Model: e.model, Usage: j.usage(n),
		Choices: []choice{{Message: &message{Role: "assistant", Content: b.String()}, FinishReason: &stop}},
	})
}

// tokenGap returns the time between two tokens; a full batch is slower.
func (e *Engine) tokenGap(j *job) time.Duration {
	running, _ := e.batch.load()
	full := 1 + float64(running)/float64(e.slots)
	return time.Duration(float64(e.gap) * full / 2 * j.slow())
}

// stream sends the answer token by token.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job) {
	w.Header().Set("Content-Type", "text/event-stream")
	s := &sender{w: w, f: w.(http.Flusher), id: j.id, model: e.model, created: time.Now().Unix()}
	n := j.req.tokens()
	for i := j.req.ResumeOffset; i < n; i++ {
		if !clock.Sleep(r.Context(), e.tokenGap(j)) {
			return
		}
		if j.faults.CutAfterTokens > 0 && i-j.req.ResumeOffset >= j.faults.CutAfterTokens {
			fake.AbortConnection(w)
		}
		if j.faults.MalformedEvent && i == n/2 {
			s.raw("data: {\"id\": broken\n\n")
		}
		s.token(i, Token(j.hash, i))
		e.generated(j.entry, i-j.req.ResumeOffset+1)
	}
	s.finish(n)
	if j.req.StreamOptions != nil && j.req.StreamOptions.IncludeUsage {
		s.usage(n+1, j.usage(n))
	}
	s.raw("data: [DONE]\n\n")
}

// sender writes the events of one stream.
type sender struct {
	w       http.ResponseWriter
	f       http.Flusher
	id      string
	model   string
	created int64
}

func (s *sender) raw(text string) {
	_, _ = s.w.Write([]byte(text))
	s.f.Flush()
}

func (s *sender) event(seq int, c completion) {
	c.ID, c.Object, c.Created, c.Model = s.id, "chat.completion.chunk", s.created, s.model
	b, _ := json.Marshal(c)
	s.raw(fmt.Sprintf("id: %d\ndata: %s\n\n", seq, b))
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
