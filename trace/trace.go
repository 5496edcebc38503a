package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// bytesPerToken is the length of a token of generated text in bytes.
const bytesPerToken = 4

// Part is a part of a prompt that other prompts of the same workspace may share.
type Part struct {
	Name   string `json:"name"`   // determines the text
	Tokens int    `json:"tokens"` // length in tokens
}

// Request is one line of a trace.
type Request struct {
	AtMS      int64  `json:"at_ms"` // time of sending, in milliseconds after the start of the trace
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	Parts     []Part `json:"parts"`      // may be shared with other requests; outermost first
	Question  Part   `json:"question"`   // last part of the prompt, the caller's own
	MaxTokens int    `json:"max_tokens"` // limit of generated tokens
	Stream    bool   `json:"stream"`
}

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Messages returns the prompt as chat messages, one for each part and the last for the
// question. The first part is the system message.
func (r Request) Messages() []Message {
	msgs := make([]Message, 0, len(r.Parts)+1)
	for i, p := range r.Parts {
		role := "system"
		if i > 0 {
			role = "user"
		}
		msgs = append(msgs, Message{Role: role, Content: Text(r.Workspace, p)})
	}
	return append(msgs, Message{Role: "user", Content: Text(r.Workspace, r.Question)})
}

// PromptTokens returns the length of the prompt in tokens.
func (r Request) PromptTokens() int {
	n := r.Question.Tokens
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// Text returns the text of a part in a workspace, of 4 bytes per token. It is random, but
// equal for equal arguments.
func Text(workspace string, p Part) string {
	seed := xxhash.Sum64String(workspace + "\x00" + p.Name)
	rnd := rand.New(rand.NewPCG(seed, 0))
	var b strings.Builder
	b.Grow(p.Tokens * bytesPerToken)
	b.WriteString(p.Name)
	for b.Len() < p.Tokens*bytesPerToken {
		b.WriteByte(' ')
		for range 3 {
			b.WriteByte(byte('a' + rnd.IntN(26)))
		}
	}
	return b.String()[:p.Tokens*bytesPerToken]
}

// Write writes a trace to w as JSON lines.
func Write(w io.Writer, reqs []Request) error {
	enc := json.NewEncoder(w)
	for _, r := range reqs {
		if err := enc.Encode(r); err != nil {
			return errors.Wrap(err, "trace: write")
		}
	}
	return nil
}

// Read reads a trace of JSON lines until the end of r. It skips empty lines. It returns an
// error if a line is not a valid request, has an unknown field or exceeds 1 MiB.
func Read(r io.Reader) ([]Request, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	var out []Request
	for n := 1; sc.Scan(); n++ {
		if len(strings.TrimSpace(sc.Text())) == 0 {
			continue
		}
		var q Request
		d := json.NewDecoder(strings.NewReader(sc.Text()))
		d.DisallowUnknownFields()
		if err := d.Decode(&q); err != nil {
			return nil, errors.Wrapf(err, "trace: line %d is not a request as described in docs/TRACES.md", n)
		}
		out = append(out, q)
	}
	return out, errors.Wrap(sc.Err(), "trace: read")
}
