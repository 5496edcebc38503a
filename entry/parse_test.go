package entry

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// FuzzParseChat checks that no body is accepted without a model and messages, and
// that every error is a refusal for a bad request that has not run.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3,"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"cache_salt":"s"}`))
	f.Add([]byte(`{"model":null,"messages":null}`))
	f.Add([]byte(`{"MODEL":"m","Messages":[{"role":"a"}],"max_tokens":1e3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := parseChat(body)
		if err == nil {
			if c.model == "" || len(c.msgs) == 0 || c.maxTokens < 1 {
				t.Fatalf("accepted without model, messages or max_tokens: %q", body)
			}
			return
		}
		var r *vane.Refusal
		if !errors.As(err, &r) || r.Execution != vane.NotRun || r.Reason != vane.ReasonBadRequest {
			t.Fatalf("got error %v, want a refusal with bad_request and not_run", err)
		}
	})
}

// Callers must not set the fields that the router itself sends to engines, in any
// spelling that a JSON decoder accepts for them.
func TestReservedFieldsAreDropped(t *testing.T) {
	is := is.New(t)
	c, err := parseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"cache_salt":"other","priority":-9,"resume_offset":5,"Cache_Salt":"other","max_completion_tokens":9,"temperature":0}`))
	is.NoErr(err)
	is.Equal(c.fields.String(), `"messages":[{"role":"user","content":"x"}],"model":"m","temperature":0`)
}
