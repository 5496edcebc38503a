package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/config"
	"mustardvane.org/vane/prefix"
	"mustardvane.org/vane/route"
)

// Bounds of a chat request.
const (
	defaultMaxTokens = 1024    // generated tokens, if the caller states none
	maxMaxTokens     = 1 << 20 // generated tokens that a caller may ask for
	maxMessages      = 4096
)

// chat is a checked chat request.
type chat struct {
	model     string
	msgs      []prefix.Message
	stream    bool
	wantUsage bool
	maxTokens int
	fields    route.Fields
}

// chatWire is what the router reads of a chat request's body.
type chatWire struct {
	Model         *string       `json:"model"`
	Messages      []messageWire `json:"messages"`
	Stream        bool          `json:"stream"`
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           *int `json:"max_tokens"`
	MaxCompletionTokens *int `json:"max_completion_tokens"`
	N                   *int `json:"n"`
}

// messageWire is one message of a chat request's body.
type messageWire struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// badRequest returns a refusal of a malformed request.
func badRequest(format string, args ...any) error {
	return vane.Refuse(vane.ReasonBadRequest, format, args...)
}

// readBody reads a body within its bounds of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > s.bounds.MaxBody {
		return nil, vane.Refuse(vane.ReasonBodyTooLarge, "the body has %d bytes, %d are allowed; send less", r.ContentLength, s.bounds.MaxBody)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.bounds.BodyTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.bounds.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, vane.Refuse(vane.ReasonBodyTooLarge, "the body has more than %d bytes; send less", s.bounds.MaxBody)
	case err != nil:
		return nil, vane.Refuse(vane.ReasonBadRequest, "the body did not arrive within %s; send it faster", s.bounds.BodyTimeout).WithCause(err)
	}
	return b, nil
}

// parseChat checks the body of a chat request.
func parseChat(body []byte) (*chat, error) {
	if !utf8.Valid(body) {
		return nil, badRequest("the body is not UTF-8; encode it as UTF-8")
	}
	var obj map[string]json.RawMessage
	if err := strictObject(body, &obj); err != nil {
		return nil, err
	}
	var wire chatWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, badRequest("a field has the wrong type: %s; correct it", typeOf(err))
	}
	c := &chat{stream: wire.Stream, maxTokens: defaultMaxTokens}
	if wire.Model == nil || *wire.Model == "" {
		return nil, badRequest("the field model is missing; name a model of GET /v1/models")
	}
	c.model = *wire.Model
	if wire.StreamOptions != nil {
		c.wantUsage = wire.StreamOptions.IncludeUsage
	}
	if err := c.bounds(wire); err != nil {
		return nil, err
	}
	if err := c.messages(wire.Messages); err != nil {
		return nil, err
	}
	c.fields = route.NewFields(obj)
	return c, nil
}

// strictObject decodes exactly one JSON object.
func strictObject(body []byte, obj *map[string]json.RawMessage) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(obj); err != nil || *obj == nil {
		return badRequest("the body is not a JSON object; send one")
	}
	if _, err := d.Token(); err != io.EOF {
		return badRequest("the body goes on after the JSON object; send one object only")
	}
	return nil
}

// typeOf names the field of a type error without echoing its content.
func typeOf(err error) string {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return te.Field + " can't be a " + te.Value
	}
	return "the body"
}

// bounds checks the numbers of a chat request.
func (c *chat) bounds(w chatWire) error {
	for _, n := range []*int{w.MaxTokens, w.MaxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n < 1 || *n > maxMaxTokens {
			return badRequest("max_tokens is %d; write a number from 1 to %d", *n, maxMaxTokens)
		}
		c.maxTokens = *n
	}
	if w.N != nil && *w.N != 1 {
		return badRequest("n is %d; ask for one answer in each request", *w.N)
	}
	return nil
}

// messages checks and converts the messages.
func (c *chat) messages(in []messageWire) error {
	if len(in) == 0 {
		return badRequest("the field messages is missing or empty; send at least one message")
	}
	if len(in) > maxMessages {
		return badRequest("there are %d messages, %d are allowed; send fewer", len(in), maxMessages)
	}
	for i, m := range in {
		if m.Role == "" {
			return badRequest("messages[%d] has no role; write user, assistant or system", i)
		}
		c.msgs = append(c.msgs, prefix.Message{Role: m.Role, Content: text(m.Content)})
	}
	return nil
}

// text returns a message's content: the string itself, or the JSON form of
// structured content.
func text(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// checkModel verifies that the model is offered and the prompt fits it.
func checkModel(v *config.View, c *chat, prompt vane.Prompt) error {
	for _, m := range v.Fleet.Models {
		if m.Name != c.model {
			continue
		}
		if total := prompt.Tokens + c.maxTokens; m.MaxContext > 0 && total > m.MaxContext {
			return badRequest("prompt and answer take about %d tokens, model %s allows %d; shorten the prompt or max_tokens", total, m.Name, m.MaxContext)
		}
		return nil
	}
	return vane.Refuse(vane.ReasonModelUnknown, "no model %q; name a model of GET /v1/models", c.model)
}
