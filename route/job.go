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
	"mustardvane.org/vane/memory"
	"mustardvane.org/vane/prefix"
)

// Names of the headers between router and engines, see docs/UPSTREAMS.md.
const (
	headerRequestID   = "X-Request-Id"
	headerWorkspace   = "X-Workspace"
	headerIncarnation = "Engine-Incarnation"
	headerLoad        = "Engine-Load"
	headerDraining    = "Engine-Draining"
)

// Job is one chat request. It is used by one goroutine at a time.
type Job struct {
	ID               [16]byte // identifies the request and the response
	Workspace        string
	Priority         int // engine priority; engines run lower values first
	Prompt           vane.Prompt
	Model            string
	StreamToken      string        // signed token that identifies the stream in event ids, see stream.Signer
	ResumeOffset     int           // offset of the first event that the caller needs; zero for a new stream
	WantUsage        bool          // the caller asked for the usage event at the end of the stream
	FirstTokenTarget time.Duration // target time to the first token
	Memory           *memory.Hold  // of a response that is read whole, closed by the caller; nil for no limit
	Begin            time.Time     // when the request arrived
	Fields           Fields        // fields of the caller's request body that are passed on
	Callbacks        Callbacks

	firstTokenSeen bool // the first token was reported
}

// Callbacks report the progress of a job. Each function may be nil.
type Callbacks struct {
	OnFirstToken func(after time.Duration)   // called at the first token of the job, with the time since Begin
	OnCrash      func(u vane.Upstream) error // called if the upstream crashed while running the job; an error ends the job
}

// RequestID returns the job's id in hexadecimal form.
func (j *Job) RequestID() string { return hex.EncodeToString(j.ID[:]) }

// responseID returns the id that an upstream's response must carry.
func (j *Job) responseID() string { return "chatcmpl-" + j.RequestID() }

// Fields holds the members of a caller's JSON object, without those that the router
// sets.
type Fields struct {
	members []byte // `"key":value` pairs, joined by commas
}

// reservedFields lists the fields that callers can't set. They would give access to the
// cache of another workspace or the priority of another class.
var reservedFields = []string{"cache_salt", "priority", "resume_offset", "stream", "stream_options", "max_tokens", "max_completion_tokens"}

// isReserved reports whether a field is reserved. It ignores case, as the JSON decoders
// of some engines do.
func isReserved(name string) bool {
	return slices.ContainsFunc(reservedFields, func(r string) bool { return strings.EqualFold(r, name) })
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
	return Fields{members: b.Bytes()}
}

// String returns the fields in the form in which they are sent.
func (f Fields) String() string { return string(f.members) }

// routerFields are the request body fields that the router sets.
type routerFields struct {
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

// body returns the request body of an attempt.
func (f Fields) body(rf routerFields) ([]byte, error) {
	head, err := json.Marshal(rf)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 0, len(head)+len(f.members)+1)
	out = append(out, head[:len(head)-1]...)
	out = append(out, ',')
	out = append(out, f.members...)
	return append(out, '}'), nil
}

// request builds the request of one attempt.
func (rt *Router) request(ctx context.Context, j *Job, u vane.Upstream, stream bool, offset, maxTokens int) (*http.Request, error) {
	rf := routerFields{
		CacheSalt: prefix.Salt(rt.secret, j.Workspace, u), Priority: j.Priority,
		ResumeOffset: offset, Stream: stream, MaxTokens: maxTokens,
	}
	if stream {
		rf.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	b, err := j.Fields.body(rf)
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

// incarnation reads the upstream's incarnation from the headers of a response. It
// returns false if it is missing or malformed.
func incarnation(h http.Header) (uint64, bool) {
	n, err := strconv.ParseUint(h.Get(headerIncarnation), 10, 64)
	return n, err == nil
}

// load reads the upstream's load from the headers of a response. It returns false if it is
// missing or malformed.
func load(h http.Header) (vane.Load, bool) {
	running, waiting, _ := strings.Cut(h.Get(headerLoad), "/")
	r, errRunning := strconv.Atoi(running)
	w, errWaiting := strconv.Atoi(waiting)
	return vane.Load{Running: r, Waiting: w}, errRunning == nil && errWaiting == nil
}

// drainBody reads the rest of a short body and closes it, so that the connection can be
// reused.
func drainBody(body io.ReadCloser) {
	const short = 64 << 10
	_, _ = io.CopyN(io.Discard, body, short)
	_ = body.Close()
}

// connTracker records whether a request was given a connection. From then on, bytes may
// have reached the upstream.
type connTracker struct{ connected atomic.Bool }

// execution reports whether the request may have reached the upstream.
func (m *connTracker) execution() vane.Execution {
	if m.connected.Load() {
		return vane.MayHaveRun
	}
	return vane.NotRun
}
