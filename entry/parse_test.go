package entry

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
)

// FuzzParseChat checks that no body is taken without its model and messages, and
// that every refusal is typed and says not_run.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3,"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"cache_salt":"s"}`))
	f.Add([]byte(`{"model":null,"messages":null}`))
	f.Add([]byte(`{"MODEL":"m","Messages":[{"role":"a"}],"max_tokens":1e3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := parseChat(body)
		if err == nil {
			if c.model == "" || len(c.msgs) == 0 || c.maxTokens < 1 {
				t.Fatalf("taken without model, messages or tokens: %q", body)
			}
			return
		}
		var r *vane.Refusal
		if !errors.As(err, &r) || r.Execution != vane.NotRun || r.Reason != vane.ReasonBadRequest {
			t.Fatalf("untyped refusal %v", err)
		}
	})
}

func TestReservedFieldsAreDropped(t *testing.T) {
	is := is.New(t)
	c, err := parseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"cache_salt":"other","priority":-9,"resume_offset":5,"Cache_Salt":"other","max_completion_tokens":9,"temperature":0}`))
	is.NoErr(err)
	is.Equal(c.fields.String(), `"messages":[{"role":"user","content":"x"}],"model":"m","temperature":0`)
}
