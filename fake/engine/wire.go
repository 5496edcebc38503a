package engine

import (
	"encoding/json"
	"strings"
)

// Headers of requests from the router and of the engine's responses. HeaderLoad has the
// form running/waiting.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderWorkspace   = "X-Workspace"
	HeaderIncarnation = "Engine-Incarnation"
	HeaderVersion     = "Engine-Version"
	HeaderLoad        = "Engine-Load"
	HeaderDraining    = "Engine-Draining"
)

// chatRequest holds the fields of a chat completions request that the engine uses.
type chatRequest struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages"`
	Stream        bool           `json:"stream"`
	MaxTokens     int            `json:"max_tokens"`
	MaxCompletion int            `json:"max_completion_tokens"`
	StreamOptions *streamOptions `json:"stream_options"`
	CacheSalt     string         `json:"cache_salt"`    // prompts share cached blocks only with the same salt
	Priority      int            `json:"priority"`      // requests with the lowest value go first
	ResumeOffset  int            `json:"resume_offset"` // number of tokens to skip in a stream; 0 for a new one
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// promptText returns the roles and contents of all messages, each followed by a line
// feed. Content that is not a string appears as its JSON text.
func (r chatRequest) promptText() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		var s string
		if json.Unmarshal(m.Content, &s) != nil {
			s = string(m.Content)
		}
		b.WriteString(s)
		b.WriteByte('\n')
	}
	return b.String()
}

// outputTokens returns the number of tokens to generate: what the request asks for, or
// defaultMaxTokens.
func (r chatRequest) outputTokens() int {
	switch {
	case r.MaxCompletion > 0:
		return r.MaxCompletion
	case r.MaxTokens > 0:
		return r.MaxTokens
	default:
		return defaultMaxTokens
	}
}

// usage is the token accounting of a response.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// completion is a plain response or one chunk of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Token returns the token at an offset, counted from 0, of the response to a prompt. It
// depends on nothing else, so that a test can compute the expected response.
// promptHash is the XXH64 hash of the prompt's text: of each message the role and the
// content, each followed by a line feed.
func Token(promptHash uint64, offset int) string {
	h := (promptHash + uint64(offset)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return vocabulary[(h>>33)%uint64(len(vocabulary))] + " "
}

var vocabulary = []string{
	"roof", "seam", "gutter", "copper", "ridge", "valley", "flashing", "slope", "joint", "bracket",
	"quote", "sheet", "press", "fold", "solder", "outlet", "crew", "ladder", "drawing", "north",
}
