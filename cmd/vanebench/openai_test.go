package main

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"k8s.io/klog/v2"

	"mustardvane.org/vane/bench"
	"mustardvane.org/vane/fake/engine"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// TestOfficialClient checks that OpenAI's official Go client works with a node:
// plain and streamed completions, the list of models, and the error for an unknown
// key.
func TestOfficialClient(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := bench.Start(ctx, bench.WithNodes(1), bench.WithEngines(2, engine.WithSpeed(4_000_000, time.Millisecond)))
	is.NoErr(err)
	defer f.Close()
	is.NoErr(f.Apply(ctx, bench.DefaultFleet("w1")))
	client := func(key string) openai.Client {
		return openai.NewClient(option.WithBaseURL("http://"+f.Nodes[0].Addr()+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
	}
	c := client(bench.KeyOf("w1"))
	params := openai.ChatCompletionNewParams{
		Model: bench.ModelName, MaxCompletionTokens: openai.Int(8),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("You classify roof drawings."), openai.UserMessage("Which slope?")},
	}
	hash := xxhash.Sum64String("system\nYou classify roof drawings.\nuser\nWhich slope?\n")
	want := ""
	for i := range 8 {
		want += engine.Token(hash, i)
	}

	plain, err := c.Chat.Completions.New(ctx, params)
	is.NoErr(err)
	is.Equal(plain.Choices[0].Message.Content, want)
	is.Equal(plain.Usage.CompletionTokens, int64(8))

	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	s := c.Chat.Completions.NewStreaming(ctx, params)
	acc := openai.ChatCompletionAccumulator{}
	for s.Next() {
		is.True(acc.AddChunk(s.Current()))
	}
	is.NoErr(s.Err())
	is.Equal(acc.Choices[0].Message.Content, want)
	is.Equal(acc.Choices[0].FinishReason, "stop")
	is.Equal(acc.Usage.CompletionTokens, int64(8))

	models, err := c.Models.List(ctx)
	is.NoErr(err)
	is.Equal(models.Data[0].ID, bench.ModelName)

	bad := client("nobody's-key")
	_, err = bad.Chat.Completions.New(ctx, params)
	var ae *openai.Error
	is.True(errors.As(err, &ae))
	is.Equal(ae.StatusCode, 401)
	is.Equal(ae.Code, "key_unknown")
	is.True(strings.Contains(ae.Message, "ask the operator"))
}
