package stream

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
)

// Writer takes the events of a stream. Each call of WriteEvent delivers one
// whole event to the caller before it returns.
type Writer interface {
	WriteEvent(b []byte) error
}

// done is the last event of a complete stream.
var done = []byte("[DONE]")

// Usage is the accounting that an engine sends at the end of a stream.
type Usage struct {
	Prompt    int // tokens
	Generated int // tokens
	Cached    int // prompt tokens that were cached; negative if not stated
}

// Relay copies one answer, possibly from several upstreams in turn.
type Relay struct {
	w     Writer
	token string // signed name of the stream
	next  int    // offset of the next event
	hide  bool   // drop the usage event
	out   []byte

	want  []byte // start of the data of each event
	usage Usage
	first func()
}

// NewRelay returns a relay that writes to w. token names the stream in event ids;
// next is the offset of the first event to be relayed; hideUsage drops the usage
// event, for callers that did not ask for it.
func NewRelay(w Writer, token string, next int, hideUsage bool) *Relay {
	return &Relay{w: w, token: token, next: next, hide: hideUsage, usage: Usage{Cached: -1}}
}

// OnFirstEvent sets a function that is called once, after the next event was written.
func (r *Relay) OnFirstEvent(f func()) { r.first = f }

// NextOffset returns the offset of the next event, which is where another upstream
// has to resume.
func (r *Relay) NextOffset() int { return r.next }

// Usage returns the accounting received so far.
func (r *Relay) Usage() Usage { return r.usage }

// Copy relays src until its final event. answerID is the id that each event must
// carry. It returns nil only if the stream is complete.
func (r *Relay) Copy(src *Reader, answerID string) error {
	r.want = append(append(r.want[:0], `{"id":"`...), answerID...)
	r.want = append(r.want, '"')
	begin := r.next
	for {
		e, err := src.Next()
		if err != nil {
			return r.broken(err, begin)
		}
		end, err := r.event(e, answerID)
		if end || err != nil {
			return err
		}
	}
}

// broken classes the end of the input before the final event.
func (r *Relay) broken(err error, begin int) error {
	if KindOf(err) != KindNone {
		return err
	}
	kind := KindBroken
	if err == io.EOF && r.next == begin {
		kind = KindEmpty
	}
	return &Error{Kind: kind, Have: "end of input after event " + itoa(r.next-1), Want: "a final [DONE]", Cause: err}
}

// event checks and relays one event. It returns true at the end of the stream.
func (r *Relay) event(e Event, answerID string) (bool, error) {
	if bytes.Equal(e.Data, done) {
		return true, r.write([]byte("data: [DONE]\n\n"))
	}
	if len(e.Name) > 0 && string(e.Name) != "message" {
		return false, &Error{Kind: KindBadEvent, Have: "event " + strconv.Quote(string(e.Name)), Want: "a message event"}
	}
	if !bytes.HasPrefix(e.Data, r.want) {
		if err := checkID(e.Data, answerID); err != nil {
			return false, err
		}
	}
	if err := r.checkOffset(e.ID); err != nil {
		return false, err
	}
	if !json.Valid(e.Data) {
		return false, &Error{Kind: KindBadEvent, Have: "data that is not JSON", Want: "a JSON object"}
	}
	if bytes.Contains(e.Data, usageMark) && r.takeUsage(e.Data) && r.hide {
		r.next++
		return false, nil
	}
	return false, r.relay(e.Data)
}

// checkID compares the id of an event that does not start in the usual way.
func checkID(data []byte, answerID string) error {
	var c struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return &Error{Kind: KindBadEvent, Have: "data that is not JSON", Want: "a JSON object", Cause: err}
	}
	if c.ID != answerID {
		return &Error{Kind: KindWrongID, Have: "answer " + strconv.Quote(c.ID), Want: "answer " + strconv.Quote(answerID)}
	}
	return nil
}

// checkOffset verifies that the event is the next one. Engines that send no ids
// are taken at their word.
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

// usageMark stands in each event with accounting.
var usageMark = []byte(`"usage":{`)

// takeUsage reads the accounting. It returns true if the event has nothing else.
func (r *Relay) takeUsage(data []byte) bool {
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

// wireUsage is the accounting in an answer.
type wireUsage struct {
	Prompt    int `json:"prompt_tokens"`
	Generated int `json:"completion_tokens"`
	Details   *struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u *wireUsage) usage() Usage {
	out := Usage{Prompt: u.Prompt, Generated: u.Generated, Cached: -1}
	if u.Details != nil {
		out.Cached = u.Details.Cached
	}
	return out
}

// relay writes one event with its id.
func (r *Relay) relay(data []byte) error {
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
	if r.first != nil {
		r.first()
		r.first = nil
	}
	return nil
}

// appendData appends data with each inner newline starting a new data field.
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

// write passes b to the caller.
func (r *Relay) write(b []byte) error {
	if err := r.w.WriteEvent(b); err != nil {
		return &Error{Kind: KindCallerGone, Have: "a caller that takes no more", Want: "an open connection", Cause: err}
	}
	return nil
}

// Response is what a plain answer must hold.
type Response struct {
	ID    string
	Usage Usage
}

// CheckResponse verifies a plain answer: it must be JSON, belong to the request
// and hold at least one choice.
func CheckResponse(body []byte, answerID string) (Response, error) {
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
	if c.ID != answerID {
		return Response{}, &Error{Kind: KindWrongID, Have: "answer " + strconv.Quote(c.ID), Want: "answer " + strconv.Quote(answerID)}
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

// itoa formats n.
func itoa(n int) string { return strconv.Itoa(n) }

// atoi parses digits without allocating.
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
