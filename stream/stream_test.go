package stream_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/stream"
)

// collector collects the events written to it. Once limit events are written, the
// next write fails.
type collector struct {
	b     strings.Builder
	limit int
}

func (s *collector) WriteEvent(b []byte) error {
	if s.limit--; s.limit == -1 {
		return errors.New("the caller left")
	}
	s.b.Write(b)
	return nil
}

// answerEvent returns an event of the response chatcmpl-1.
func answerEvent(id int, content string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"chatcmpl-1\",\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, content)
}

const (
	doneEvent  = "data: [DONE]\n\n"
	usageEvent = "id: 2\ndata: {\"id\":\"chatcmpl-1\",\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n"
)

func TestRelay(t *testing.T) {
	for _, tt := range []struct {
		name string
		in   string
		kind stream.Kind
		next int // offset from which another upstream resumes
	}{
		{"whole", answerEvent(0, "a") + answerEvent(1, "b") + doneEvent, stream.KindNone, 2},
		{"with usage", answerEvent(0, "a") + answerEvent(1, "b") + usageEvent + doneEvent, stream.KindNone, 3},
		{"with a comment and CRLF", ": hi\r\n\r\n" + strings.ReplaceAll(answerEvent(0, "a"), "\n", "\r\n") + doneEvent, stream.KindNone, 1},
		{"without ids", "data: {\"id\":\"chatcmpl-1\",\"choices\":[]}\n\n" + doneEvent, stream.KindNone, 1},
		{"id not first", "data: {\"choices\":[],\"id\":\"chatcmpl-1\"}\n\n" + doneEvent, stream.KindNone, 1},
		{"nothing", "", stream.KindEmpty, 0},
		{"cut", answerEvent(0, "a"), stream.KindBroken, 1},
		{"cut in an event", answerEvent(0, "a") + "data: {\"id\":\"chat", stream.KindBroken, 1},
		{"gap", answerEvent(0, "a") + answerEvent(2, "c") + doneEvent, stream.KindGap, 1},
		{"repeated", answerEvent(0, "a") + answerEvent(0, "a") + doneEvent, stream.KindGap, 1},
		{"bad offset", answerEvent(0, "a") + strings.Replace(answerEvent(1, "b"), "id: 1", "id: x", 1) + doneEvent, stream.KindGap, 1},
		{"crossed", answerEvent(0, "a") + strings.Replace(answerEvent(1, "b"), "chatcmpl-1", "chatcmpl-2", 1) + doneEvent, stream.KindWrongID, 1},
		{"crossed by a longer id", answerEvent(0, "a") + strings.Replace(answerEvent(1, "b"), "chatcmpl-1", "chatcmpl-11", 1) + doneEvent, stream.KindWrongID, 1},
		{"not JSON", answerEvent(0, "a") + "id: 1\ndata: {\"id\":\"chatcmpl-1\", broken\n\n" + doneEvent, stream.KindBadEvent, 1},
		{"error event", answerEvent(0, "a") + "event: error\ndata: {\"id\":\"chatcmpl-1\"}\n\n" + doneEvent, stream.KindBadEvent, 1},
		{"endless line", "data: " + strings.Repeat("x", 2<<20) + "\n\n", stream.KindBadEvent, 0},
	} {
		for _, mode := range []struct {
			name string
			wrap func(io.Reader) io.Reader
		}{{"at once", func(r io.Reader) io.Reader { return r }}, {"by halves", iotest.HalfReader}} {
			t.Run(tt.name+" "+mode.name, func(t *testing.T) {
				is := is.New(t)
				s := &collector{limit: 100}
				rel := stream.NewRelay(s, "tok", 0, true)
				err := rel.Copy(stream.NewReader(mode.wrap(strings.NewReader(tt.in))), "chatcmpl-1")
				is.Equal(stream.KindOf(err), tt.kind)
				is.Equal(err == nil, tt.kind == stream.KindNone)
				is.Equal(rel.NextOffset(), tt.next)
				is.Equal(strings.Contains(s.b.String(), "[DONE]"), tt.kind == stream.KindNone)
				is.True(!strings.Contains(s.b.String(), "usage")) // hideUsage is set
			})
		}
	}
}

// After a broken stream, Copy continues with the stream of another upstream.
func TestRelayGoesOn(t *testing.T) {
	is := is.New(t)
	s := &collector{limit: 100}
	rel := stream.NewRelay(s, "tok", 0, false)
	is.Equal(stream.KindOf(rel.Copy(stream.NewReader(strings.NewReader(answerEvent(0, "a"))), "chatcmpl-1")), stream.KindBroken)
	is.NoErr(rel.Copy(stream.NewReader(strings.NewReader(answerEvent(1, "b")+usageEvent+doneEvent)), "chatcmpl-1"))
	is.Equal(strings.Count(s.b.String(), "id: tok."), 3)
	is.True(strings.Contains(s.b.String(), "id: tok.1\n"))
	is.Equal(rel.Usage(), stream.Usage{Prompt: 9, Generated: 2, Cached: 4})
}

func TestRelayCallerGone(t *testing.T) {
	is := is.New(t)
	rel := stream.NewRelay(&collector{limit: 1}, "tok", 0, true)
	err := rel.Copy(stream.NewReader(strings.NewReader(answerEvent(0, "a")+answerEvent(1, "b")+doneEvent)), "chatcmpl-1")
	is.Equal(stream.KindOf(err), stream.KindCallerGone)
	is.True(!stream.KindOf(err).Resumable())
}

func TestCheckResponse(t *testing.T) {
	for _, tt := range []struct {
		name, body string
		kind       stream.Kind
	}{
		{"good", `{"id":"chatcmpl-1","choices":[{}]}`, stream.KindNone},
		{"nothing", "", stream.KindEmpty},
		{"blank", " \n", stream.KindEmpty},
		{"no choices", `{"id":"chatcmpl-1","choices":[]}`, stream.KindEmpty},
		{"crossed", `{"id":"chatcmpl-2","choices":[{}]}`, stream.KindWrongID},
		{"cut", `{"id":"chatcmpl-1","cho`, stream.KindBadEvent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := stream.CheckResponse([]byte(tt.body), "chatcmpl-1")
			is.Equal(stream.KindOf(err), tt.kind)
			is.Equal(err == nil, tt.kind == stream.KindNone)
		})
	}
}

// An event id is accepted only with the secret, the workspace and the request for
// which it was made.
func TestToken(t *testing.T) {
	s, other := stream.NewSigner("secret-of-all-nodes"), stream.NewSigner("another-secret-text")
	id := [16]byte{1, 2, 3}
	tok := s.Token(id, "w1", 77)
	for _, tt := range []struct {
		name  string
		s     *stream.Signer
		event string
		ws    string
		fp    uint64
		ok    bool
		next  int
	}{
		{"own", s, tok + ".41", "w1", 77, true, 42},
		{"another node with the same secret", stream.NewSigner("secret-of-all-nodes"), tok + ".0", "w1", 77, true, 1},
		{"another workspace", s, tok + ".41", "w2", 77, false, 0},
		{"another request", s, tok + ".41", "w1", 78, false, 0},
		{"another secret", other, tok + ".41", "w1", 77, false, 0},
		{"no offset", s, tok, "w1", 77, false, 0},
		{"negative offset", s, tok + ".-1", "w1", 77, false, 0},
		{"huge offset", s, tok + ".99999999999", "w1", 77, false, 0},
		{"changed", s, "A" + tok[1:] + "x.1", "w1", 77, false, 0},
		{"empty", s, "", "w1", 77, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, next, err := tt.s.VerifyEventID(tt.event, tt.ws, tt.fp)
			is.Equal(err == nil, tt.ok)
			if tt.ok {
				is.Equal(got, id)
				is.Equal(next, tt.next)
				return
			}
			var r *vane.Refusal
			is.True(errors.As(err, &r))
			is.Equal(r.Reason, vane.ReasonResumeInvalid)
		})
	}
}

// FuzzReader checks that no input makes the reader panic or return more data than it
// read.
func FuzzReader(f *testing.F) {
	f.Add([]byte(answerEvent(0, "a") + usageEvent + doneEvent))
	f.Add([]byte("data:\n\ndata\n\n:\n\nid\n\n"))
	f.Add([]byte("data: a\ndata: b\r\n\r\nevent: x\ndata: {}\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := stream.NewReader(strings.NewReader(string(in)))
		total := 0
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			if total += len(e.Data); total > len(in) {
				t.Fatalf("%d bytes of data from %d", total, len(in))
			}
		}
	})
}

func Example() {
	var out collector
	out.limit = 10
	rel := stream.NewRelay(&out, "tok", 0, true)
	err := rel.Copy(stream.NewReader(strings.NewReader(answerEvent(0, "roof")+doneEvent)), "chatcmpl-1")
	fmt.Println(err, rel.NextOffset())
	// Output: <nil> 1
}
