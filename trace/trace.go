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

// bytesPerToken is the size of a token of generated text.
const bytesPerToken = 4

// Part is a piece of a prompt that other prompts may share.
type Part struct {
	Name   string `json:"name"`
	Tokens int    `json:"tokens"`
}

// Request is one line of a trace.
type Request struct {
	AtMS      int64  `json:"at_ms"` // milliseconds after the start
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	Parts     []Part `json:"parts"`    // shared, outermost first
	Question  Part   `json:"question"` // the caller's own part
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Messages returns the prompt's text.
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

// PromptTokens returns the tokens of the prompt.
func (r Request) PromptTokens() int {
	n := r.Question.Tokens
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// Text returns the text of a part. It depends on the workspace and the name.
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

// Write writes a trace.
func Write(w io.Writer, reqs []Request) error {
	enc := json.NewEncoder(w)
	for _, r := range reqs {
		if err := enc.Encode(r); err != nil {
			return errors.Wrap(err, "trace: write")
		}
	}
	return nil
}

// Read reads a trace.
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
			return nil, errors.Wrapf(err, "trace: line %d; write one request as in docs/TRACES.md", n)
		}
		out = append(out, q)
	}
	return out, errors.Wrap(sc.Err(), "trace: read")
}
