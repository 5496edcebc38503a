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
	"mustardvane.org/vane/memory"
	"mustardvane.org/vane/prefix"
	"mustardvane.org/vane/route"
)

// Limits of a chat request.
const (
	defaultMaxTokens = 1024    // generated tokens if the caller states no limit
	maxTokensLimit   = 1 << 20 // largest limit of generated tokens that a caller may state
	maxMessages      = 4096
)

// chatRequest is a validated chat request.
type chatRequest struct {
	model     string
	msgs      []prefix.Message
	stream    bool
	wantUsage bool
	maxTokens int
	fields    route.Fields
}

// chatWire is the part of a chat request's JSON body that the router reads.
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

// messageWire is one message of a chat request's JSON body.
type messageWire struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// badRequest returns the refusal of a malformed request.
func badRequest(format string, args ...any) error {
	return vane.Refuse(vane.ReasonBadRequest, format, args...)
}

// readBody reads the request body within the limits of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *request) ([]byte, error) {
	if r.ContentLength > s.bounds.MaxBodyBytes {
		return nil, vane.Refuse(vane.ReasonBodyTooLarge, "the request body has %d bytes, the limit is %d; send a smaller one", r.ContentLength, s.bounds.MaxBodyBytes)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.bounds.BodyTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	c.body = s.Memory.OpenBody(r.Context(), c.holdPriority())
	c.body.OnEvict(func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
	b, err := c.body.ReadAll(http.MaxBytesReader(w, r.Body, s.bounds.MaxBodyBytes), r.ContentLength, s.bounds.MaxBodyBytes)
	var tooLarge *http.MaxBytesError
	var ref *vane.Refusal
	switch {
	case errors.As(err, &ref):
		return nil, ref
	case errors.As(err, &tooLarge):
		return nil, vane.Refuse(vane.ReasonBodyTooLarge, "the request body exceeds %d bytes; send a smaller one", s.bounds.MaxBodyBytes)
	case err != nil:
		return nil, vane.Refuse(vane.ReasonBadRequest, "the request body did not arrive completely within %s; send it faster", s.bounds.BodyTimeout).WithCause(err)
	}
	return b, nil
}

// parseHeld parses a body within its hold, which it pins: from here on, the request may run.
func parseHeld(hold *memory.Hold, body []byte) (*chatRequest, error) {
	n := int64(len(body))
	if err := hold.Grow((config.BodyFactor - 1) * n); err != nil {
		return nil, err
	}
	req, err := parseChat(body)
	if err != nil {
		return nil, err
	}
	hold.Shrink((config.BodyFactor - 2) * n) // the body and its messages are still held
	return req, hold.Pin()
}

// maxDepth is the greatest depth of nested objects and arrays in a request.
const maxDepth = 128

// checkDepth returns a refusal if JSON text is nested more deeply than maxDepth.
func checkDepth(body []byte) error {
	depth, inString := 0, false
	for i := 0; i < len(body); i++ {
		switch b := body[i]; {
		case inString && b == '\\':
			i++
		case b == '"':
			inString = !inString
		case inString:
		case b == '{' || b == '[':
			if depth++; depth > maxDepth {
				return badRequest("the body is nested more than %d levels deep; flatten it", maxDepth)
			}
		case b == '}' || b == ']':
			depth--
		}
	}
	return nil
}

// parseChat decodes and validates the body of a chat request. Errors are refusals
// with ReasonBadRequest.
func parseChat(body []byte) (*chatRequest, error) {
	if !utf8.Valid(body) {
		return nil, badRequest("the body is not UTF-8; encode it as UTF-8")
	}
	if err := checkDepth(body); err != nil {
		return nil, err
	}
	var obj map[string]json.RawMessage
	if err := decodeObject(body, &obj); err != nil {
		return nil, err
	}
	var wire chatWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, badRequest("a field has the wrong type: %s; correct it", typeErrorText(err))
	}
	c := &chatRequest{stream: wire.Stream, maxTokens: defaultMaxTokens}
	if wire.Model == nil || *wire.Model == "" {
		return nil, badRequest("the field model is missing; name a model of GET /v1/models")
	}
	c.model = *wire.Model
	if wire.StreamOptions != nil {
		c.wantUsage = wire.StreamOptions.IncludeUsage
	}
	if err := c.checkNumbers(wire); err != nil {
		return nil, err
	}
	if err := c.convertMessages(wire.Messages); err != nil {
		return nil, err
	}
	c.fields = route.NewFields(obj)
	return c, nil
}

// decodeObject decodes body, which must hold exactly one JSON object, into obj.
func decodeObject(body []byte, obj *map[string]json.RawMessage) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(obj); err != nil || *obj == nil {
		return badRequest("the body is not a JSON object; send one")
	}
	if _, err := d.Token(); err != io.EOF {
		return badRequest("the body has data after the JSON object; send one object only")
	}
	return nil
}

// typeErrorText describes a decoding error by the field and the JSON type found. It
// does not repeat the caller's data.
func typeErrorText(err error) string {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return te.Field + " can't be a " + te.Value
	}
	return "the body"
}

// checkNumbers validates max_tokens, max_completion_tokens and n. If both limits are
// given, max_completion_tokens applies.
func (c *chatRequest) checkNumbers(w chatWire) error {
	for _, n := range []*int{w.MaxTokens, w.MaxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n < 1 || *n > maxTokensLimit {
			return badRequest("max_tokens is %d; use a number from 1 to %d", *n, maxTokensLimit)
		}
		c.maxTokens = *n
	}
	if w.N != nil && *w.N != 1 {
		return badRequest("n is %d; request one answer at a time", *w.N)
	}
	return nil
}

// convertMessages validates the messages and sets c.msgs.
func (c *chatRequest) convertMessages(in []messageWire) error {
	if len(in) == 0 {
		return badRequest("the field messages is missing or empty; send at least one message")
	}
	if len(in) > maxMessages {
		return badRequest("there are %d messages, the limit is %d; send fewer", len(in), maxMessages)
	}
	for i, m := range in {
		if m.Role == "" {
			return badRequest("messages[%d] has no role; set it to user, assistant or system", i)
		}
		c.msgs = append(c.msgs, prefix.Message{Role: m.Role, Content: contentText(m.Content)})
	}
	return nil
}

// contentText returns a message's content: the text of a string, or the JSON text of
// structured content.
func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// checkModel verifies that the model exists, and that the prompt and the generated
// tokens fit into its context. A MaxContext of zero sets no limit.
func checkModel(v *config.View, c *chatRequest, prompt vane.Prompt) error {
	for _, m := range v.Fleet.Models {
		if m.Name != c.model {
			continue
		}
		if total := prompt.Tokens + c.maxTokens; m.MaxContext > 0 && total > m.MaxContext {
			return badRequest("prompt and answer need about %d tokens, model %s allows %d; shorten the prompt or reduce max_tokens", total, m.Name, m.MaxContext)
		}
		return nil
	}
	return vane.Refuse(vane.ReasonModelUnknown, "no model %q; name a model of GET /v1/models", c.model)
}
