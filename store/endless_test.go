package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/fake/endless"
	"mustardvane.org/vane/store"
)

// No call reads a response without end, and none takes its beginning for a whole one.
func TestEndlessResponse(t *testing.T) {
	const maxWritten = 48 << 20 // three attempts of a read, and what the sockets buffer
	for _, r := range endless.Responses {
		for _, call := range []struct {
			name string
			do   func(c *store.Client) error
		}{
			{"get", func(c *store.Client) error { _, err := c.Get(t.Context(), "a/b"); return err }},
			{"list", func(c *store.Client) error { _, err := c.List(t.Context(), "a/"); return err }},
			{"watch", func(c *store.Client) error { _, err := c.Watch(t.Context(), "a/", 1); return err }},
			{"put", func(c *store.Client) error { _, err := c.Put(t.Context(), "a/b", 1, []byte("x")); return err }},
		} {
			t.Run(r.Name+" "+call.name, func(t *testing.T) {
				is := is.New(t)
				s, err := endless.Serve(r)
				is.NoErr(err)
				defer s.Close()
				c := store.New("http://"+s.Addr(), store.WithTimeout(5*time.Second))
				defer c.Close()
				begin := time.Now()
				is.True(call.do(c) != nil)
				is.True(time.Since(begin) < 20*time.Second)
				select {
				case n := <-s.Written:
					is.True(n < maxWritten)
				case <-time.After(10 * time.Second):
					t.Fatal("the connection was not closed")
				}
			})
		}
	}
}

// endlessPages is a protocol in which each page of a list has a next one.
type endlessPages struct{ store.Protocol }

// DecodeBatch implements store.Protocol.
func (p endlessPages) DecodeBatch(prefix string, r *store.Response) (vane.Batch, string, error) {
	b, _, err := p.Protocol.DecodeBatch(prefix, r)
	return b, "next", err
}

// A list whose pages do not end is given up.
func TestEndlessList(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, _, c := client(store.WithProtocol(endlessPages{store.Native()}))
	_, err := c.List(ctx, "a/")
	is.True(err != nil)
	is.NoErr(ctx.Err())
}
