package stream

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
)

// Writer delivers the events of a stream to the caller.
type Writer interface {
	// WriteEvent delivers one complete event before it returns. It must not keep b.
	WriteEvent(b []byte) error
}

// doneData is the data of the final event of a complete stream.
var doneData = []byte("[DONE]")

// Usage is the token accounting that an engine sends with a response.
type Usage struct {
	Prompt    int // number of prompt tokens
	Generated int // number of generated tokens
	Cached    int // number of prompt tokens found in the engine's cache; negative if not stated
}

// Relay copies one streamed response to the caller, possibly from several upstreams
// in turn. It is not safe for concurrent use.
type Relay struct {
	w         Writer
	token     string // identifies the stream in event ids, see Signer.Token
	next      int    // offset of the next event
	hideUsage bool   // the caller did not ask for the usage event
	out       []byte // buffer for the event being written

	wantPrefix []byte // usual beginning of an event's data: the id member of the JSON object
	usage      Usage
	onFirst    func() // called after the next event and then cleared; nil for none
}

// NewRelay returns a relay that writes to w. token identifies the stream in event
// ids, next is the offset of the first event to be relayed, and hideUsage drops the
// usage event, for callers that did not ask for it.
func NewRelay(w Writer, token string, next int, hideUsage bool) *Relay {
	return &Relay{w: w, token: token, next: next, hideUsage: hideUsage, usage: Usage{Cached: -1}}
}

// OnFirstEvent sets a function that is called once, after the next event has been
// written.
func (r *Relay) OnFirstEvent(f func()) { r.onFirst = f }

// NextOffset returns the offset of the next event, at which another upstream has to
// resume the stream.
func (r *Relay) NextOffset() int { return r.next }

// Usage returns the accounting received so far. Before it arrives, Cached is
// negative and the other fields are zero.
func (r *Relay) Usage() Usage { return r.usage }

// Copy relays src until its final event. Each event's data must hold the response
// id responseID. Copy returns nil only if the stream is complete, else an [*Error].
// It may be called again with the stream of another upstream, which must continue at
// NextOffset.
func (r *Relay) Copy(src *Reader, responseID string) error {
	r.wantPrefix = append(append(r.wantPrefix[:0], `{"id":"`...), responseID...)
	r.wantPrefix = append(r.wantPrefix, '"')
	begin := r.next
	for {
		e, err := src.Next()
		if err != nil {
			return r.inputEnded(err, begin)
		}
		end, err := r.checkAndRelay(e, responseID)
		if end || err != nil {
			return err
		}
	}
}

// inputEnded returns the error for an input that ended before the final event. begin
// is the offset at which the input started.
func (r *Relay) inputEnded(err error, begin int) error {
	if KindOf(err) != KindNone {
		return err
	}
	kind := KindBroken
	if err == io.EOF && r.next == begin {
		kind = KindEmpty
	}
	return &Error{Kind: kind, Have: "end of input after event " + itoa(r.next-1), Want: "a final [DONE]", Cause: err}
}

// checkAndRelay checks one event and writes it to the caller. It returns true after
// the final event.
func (r *Relay) checkAndRelay(e Event, responseID string) (bool, error) {
	if bytes.Equal(e.Data, doneData) {
		return true, r.write([]byte("data: [DONE]\n\n"))
	}
	if len(e.Name) > 0 && string(e.Name) != "message" {
		return false, &Error{Kind: KindBadEvent, Have: "event " + strconv.Quote(string(e.Name)), Want: "a message event"}
	}
	if !bytes.HasPrefix(e.Data, r.wantPrefix) {
		if err := checkID(e.Data, responseID); err != nil {
			return false, err
		}
	}
	if err := r.checkOffset(e.ID); err != nil {
		return false, err
	}
	if !json.Valid(e.Data) {
		return false, &Error{Kind: KindBadEvent, Have: "data that is not JSON", Want: "a JSON object"}
	}
	if bytes.Contains(e.Data, usageKey) && r.parseUsage(e.Data) && r.hideUsage {
		r.next++
		return false, nil
	}
	return false, r.writeEvent(e.Data)
}

// checkID verifies the response id in an event whose data does not start with it.
func checkID(data []byte, responseID string) error {
	var c struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return &Error{Kind: KindBadEvent, Have: "data that is not JSON", Want: "a JSON object", Cause: err}
	}
	if c.ID != responseID {
		return &Error{Kind: KindWrongID, Have: "response " + strconv.Quote(c.ID), Want: "response " + strconv.Quote(responseID)}
	}
	return nil
}

// checkOffset verifies that an event's id is the next offset. An event without an id
// is taken as the next one, since some engines send no ids.
func (r *Relay) checkOffset(id []byte) error {
	if len(id) == 0 {
		return nil
	}
	n, ok := atoi(id)
	if !ok || n != r.next {
		return &Error{Kind: KindGap, Have: "event " + strconv.Quote(string(id)), Want: "event " + itoa(r.next)}
	}
	return nil
}

// usageKey occurs in the data of every event with token accounting.
var usageKey = []byte(`"usage":{`)

// parseUsage takes over the token accounting of an event. It returns true if the
// event holds nothing else.
func (r *Relay) parseUsage(data []byte) bool {
	var c struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   *wireUsage        `json:"usage"`
	}
	if json.Unmarshal(data, &c) != nil || c.Usage == nil {
		return false
	}
	r.usage = c.Usage.usage()
	return len(c.Choices) == 0
}

// wireUsage is the JSON form of the token accounting.
type wireUsage struct {
	Prompt    int `json:"prompt_tokens"`
	Generated int `json:"completion_tokens"`
	Details   *struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// usage converts u. Cached is -1 if the engine did not state it.
func (u *wireUsage) usage() Usage {
	out := Usage{Prompt: u.Prompt, Generated: u.Generated, Cached: -1}
	if u.Details != nil {
		out.Cached = u.Details.Cached
	}
	return out
}

// writeEvent writes one event to the caller, with an id of the form TOKEN.OFFSET.
func (r *Relay) writeEvent(data []byte) error {
	r.out = append(r.out[:0], "id: "...)
	r.out = append(r.out, r.token...)
	r.out = append(r.out, '.')
	r.out = strconv.AppendInt(r.out, int64(r.next), 10)
	r.out = append(r.out, "\ndata: "...)
	r.out = appendData(r.out, data)
	r.out = append(r.out, "\n\n"...)
	if err := r.write(r.out); err != nil {
		return err
	}
	r.next++
	if r.onFirst != nil {
		r.onFirst()
		r.onFirst = nil
	}
	return nil
}

// appendData appends data to out. After each newline in it, a new data field starts.
func appendData(out, data []byte) []byte {
	for {
		i := bytes.IndexByte(data, '\n')
		if i < 0 {
			return append(out, data...)
		}
		out = append(out, data[:i]...)
		out = append(out, "\ndata: "...)
		data = data[i+1:]
	}
}

// write writes b to the caller. A failure means that the caller takes no more.
func (r *Relay) write(b []byte) error {
	if err := r.w.WriteEvent(b); err != nil {
		return &Error{Kind: KindCallerGone, Have: "a failed write to the caller", Want: "an open connection", Cause: err}
	}
	return nil
}

// Response is the content of a response without a stream, as far as the router
// reads it.
type Response struct {
	ID    string
	Usage Usage
}

// CheckResponse verifies the body of a response without a stream: it must be a JSON
// object with the id responseID and at least one choice. Errors are of type [*Error].
func CheckResponse(body []byte, responseID string) (Response, error) {
	var c struct {
		ID      string            `json:"id"`
		Choices []json.RawMessage `json:"choices"`
		Usage   *wireUsage        `json:"usage"`
	}
	if len(bytes.TrimSpace(body)) == 0 {
		return Response{}, &Error{Kind: KindEmpty, Have: "no body", Want: "a JSON object"}
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return Response{}, &Error{Kind: KindBadEvent, Have: "a body that is not JSON", Want: "a JSON object", Cause: err}
	}
	if c.ID != responseID {
		return Response{}, &Error{Kind: KindWrongID, Have: "response " + strconv.Quote(c.ID), Want: "response " + strconv.Quote(responseID)}
	}
	if len(c.Choices) == 0 {
		return Response{}, &Error{Kind: KindEmpty, Have: "no choices", Want: "at least one"}
	}
	a := Response{ID: c.ID, Usage: Usage{Cached: -1}}
	if c.Usage != nil {
		a.Usage = c.Usage.usage()
	}
	return a, nil
}

// itoa returns n in decimal form.
func itoa(n int) string { return strconv.Itoa(n) }

// atoi parses a number of 1 to 9 decimal digits without allocating.
func atoi(b []byte) (int, bool) {
	const maxDigits = 9
	if len(b) == 0 || len(b) > maxDigits {
		return 0, false
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}
