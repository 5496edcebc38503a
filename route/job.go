package route

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/prefix"
)

// Names of the headers between router and engines; docs/UPSTREAMS.md.
const (
	headerRequestID   = "X-Request-Id"
	headerWorkspace   = "X-Workspace"
	headerIncarnation = "Engine-Incarnation"
	headerLoad        = "Engine-Load"
	headerDraining    = "Engine-Draining"
)

// Job is one chat request on its way.
type Job struct {
	ID        [16]byte // names the stream and the answer
	Workspace string
	Priority  int
	Prompt    vane.Prompt
	Model     string
	Token     string        // signed name of the stream for event ids
	Resume    int           // offset at which the stream goes on
	WantUsage bool          // the caller asked for accounting in the stream
	Target    time.Duration // first-token target
	Begin     time.Time     // arrival of the request
	Fields    Fields        // the caller's body
	Notify    Notify

	begun bool // the caller got its first token
}

// Notify tells the entry what happens to a job. Its functions may be nil.
type Notify struct {
	First func(after time.Duration)
	Lost  func(u vane.Upstream) error // the upstream crashed while it ran the job; an error ends the job
}

// RequestID returns the job's id in hexadecimal form.
func (j *Job) RequestID() string { return hex.EncodeToString(j.ID[:]) }

// answerID returns the id that the answer must carry.
func (j *Job) answerID() string { return "chatcmpl-" + j.RequestID() }

// Fields is a caller's JSON object, without the fields that the router sets.
type Fields struct {
	rest []byte // `"key":value` pairs, joined by commas
}

// reserved are the fields that callers can't set: they would reach another
// workspace's cache or another class's priority.
var reserved = []string{"cache_salt", "priority", "resume_offset", "stream", "stream_options", "max_tokens", "max_completion_tokens"}

// isReserved says whether a field is reserved, in any case: some engines' decoders
// do not look at it.
func isReserved(name string) bool {
	return slices.ContainsFunc(reserved, func(r string) bool { return strings.EqualFold(r, name) })
}

// NewFields returns the caller's fields without the reserved ones.
func NewFields(obj map[string]json.RawMessage) Fields {
	var b bytes.Buffer
	for _, k := range slices.Sorted(maps.Keys(obj)) {
		if isReserved(k) {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		name, _ := json.Marshal(k)
		b.Write(name)
		b.WriteByte(':')
		b.Write(obj[k])
	}
	return Fields{rest: b.Bytes()}
}

// String returns the fields as they are sent.
func (f Fields) String() string { return string(f.rest) }

// order is the part of a request's body that the router sets.
type order struct {
	CacheSalt     string         `json:"cache_salt"`
	Priority      int            `json:"priority"`
	ResumeOffset  int            `json:"resume_offset,omitempty"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
	MaxTokens     int            `json:"max_tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// body returns the bytes of an attempt's request.
func (f Fields) body(o order) ([]byte, error) {
	head, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 0, len(head)+len(f.rest)+1)
	out = append(out, head[:len(head)-1]...)
	out = append(out, ',')
	out = append(out, f.rest...)
	return append(out, '}'), nil
}

// request builds the request of one attempt.
func (rt *Router) request(ctx context.Context, j *Job, u vane.Upstream, stream bool, offset, maxTokens int) (*http.Request, error) {
	o := order{
		CacheSalt: prefix.Salt(rt.secret, j.Workspace, u), Priority: j.Priority,
		ResumeOffset: offset, Stream: stream, MaxTokens: maxTokens,
	}
	if stream {
		o.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	b, err := j.Fields.body(o)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Addr+"/v1/chat/completions", bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequestID, j.RequestID())
	req.Header.Set(headerWorkspace, j.Workspace)
	return req, nil
}

// incarnation reads the incarnation from an answer's header.
func incarnation(h http.Header) (uint64, bool) {
	n, err := strconv.ParseUint(h.Get(headerIncarnation), 10, 64)
	return n, err == nil
}

// drainBody reads the rest of a short body, so that the connection can be used
// again, and closes it.
func drainBody(body io.ReadCloser) {
	const short = 64 << 10
	_, _ = io.CopyN(io.Discard, body, short)
	_ = body.Close()
}

// sentMark notes that a connection was handed to a request, after which bytes
// may reach the upstream.
type sentMark struct{ got atomic.Bool }

// execution says whether the request can have reached the upstream.
func (m *sentMark) execution() vane.Execution {
	if m.got.Load() {
		return vane.MayHaveRun
	}
	return vane.NotRun
}
