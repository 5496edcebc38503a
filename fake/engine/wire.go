package engine

import (
	"encoding/json"
	"strings"
)

// Names of the headers between router and engine.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderWorkspace   = "X-Workspace"
	HeaderIncarnation = "Engine-Incarnation"
	HeaderVersion     = "Engine-Version"
	HeaderLoad        = "Engine-Load"
	HeaderDraining    = "Engine-Draining"
)

// chatRequest is what the engine reads of a request.
type chatRequest struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages"`
	Stream        bool           `json:"stream"`
	MaxTokens     int            `json:"max_tokens"`
	MaxCompletion int            `json:"max_completion_tokens"`
	StreamOptions *streamOptions `json:"stream_options"`
	CacheSalt     string         `json:"cache_salt"`
	Priority      int            `json:"priority"`
	ResumeOffset  int            `json:"resume_offset"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the prompt as the tokenizer sees it.
func (r chatRequest) text() string {
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

// tokens returns the number of tokens to generate.
func (r chatRequest) tokens() int {
	switch {
	case r.MaxCompletion > 0:
		return r.MaxCompletion
	case r.MaxTokens > 0:
		return r.MaxTokens
	default:
		return defaultMaxTokens
	}
}

// usage is the accounting part of an answer.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// completion is a plain answer or one chunk of a stream.
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

// Token returns the token at an offset of the answer to a prompt. It depends on
// nothing else, so that a test can compute the right answer.
func Token(promptHash uint64, offset int) string {
	h := (promptHash + uint64(offset)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return words[(h>>33)%uint64(len(words))] + " "
}

var words = []string{
	"roof", "seam", "gutter", "copper", "ridge", "valley", "flashing", "slope", "joint", "bracket",
	"quote", "sheet", "press", "fold", "solder", "outlet", "crew", "ladder", "drawing", "north",
}
