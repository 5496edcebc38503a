package trace_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/trace"
)

func TestWriteAndRead(t *testing.T) {
	is := is.New(t)
	reqs := trace.Generate(trace.Shape{Seed: 3, Requests: 50, ShiftEvery: 10})
	var b bytes.Buffer
	is.NoErr(trace.Write(&b, reqs))
	got, err := trace.Read(&b)
	is.NoErr(err)
	is.Equal(got, reqs)
	is.Equal(trace.Generate(trace.Shape{Seed: 3, Requests: 50, ShiftEvery: 10}), reqs) // equal shapes give equal traces
	_, err = trace.Read(strings.NewReader("{\"at_ms\":1}\n{\"weight\":3}\n"))
	is.True(err != nil && strings.Contains(err.Error(), "line 2"))
}

func TestMaxHitRate(t *testing.T) {
	one := trace.Request{Workspace: "w", Model: "m", Parts: []trace.Part{{Name: "a", Tokens: 8000}}, Question: trace.Part{Name: "q", Tokens: 10}}
	for _, tt := range []struct {
		name string
		reqs []trace.Request
		want string
	}{
		{"nothing", nil, "0.00"},
		{"once", []trace.Request{one}, "0.00"},
		{"twice", []trace.Request{one, one}, "0.50"},
		{"other workspaces share nothing", []trace.Request{one, {Workspace: "v", Model: "m", Parts: one.Parts, Question: one.Question}}, "0.00"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(fmt.Sprintf("%.2f", trace.MaxHitRate(tt.reqs, 4000)), tt.want)
		})
	}
}
