package store_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/store"
)

// serveBytes answers each connection's first request with b and closes the connection.
func serveBytes(t *testing.T, b string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			// One read takes the whole request: it is short.
			_, _ = c.Read(make([]byte, 64<<10))
			_, _ = c.Write([]byte(b))
			_ = c.Close()
		}
	}()
	return "http://" + ln.Addr().String()
}

// framings are the ways in which a response with a body states its end.
var framings = []struct {
	name   string
	header func(body string) string
	body   func(body string) string
}{
	{"length", func(b string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(b)) }, func(b string) string { return b }},
	{"chunked", func(string) string { return "Transfer-Encoding: chunked\r\n" }, func(b string) string {
		return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(b), b)
	}},
	{"close", func(string) string { return "" }, func(b string) string { return b }},
}

// A response that is cut after any byte is no response, unless only bytes are missing that
// mean nothing. A value without a length is none at all, since nothing shows its end.
func TestCutResponse(t *testing.T) {
	const object = "Object-Version: 512\r\n"
	for _, tt := range []struct {
		name, header, body string
		bodyless           bool // the head says it all
		do                 func(c *store.Client) error
	}{
		{"get", object, `a value`, false, func(c *store.Client) error { _, err := c.Get(t.Context(), "a/b"); return err }},
		{"list", "", `{"revision":512,"objects":[{"key":"a/b","version":31,"value":"eA=="},{"key":"a/c","version":32}]}`, false, func(c *store.Client) error { _, err := c.List(t.Context(), "a/"); return err }},
		{"watch", "", `{"revision":512,"objects":[{"key":"a/b","version":31,"deleted":true}]}`, false, func(c *store.Client) error { _, err := c.Watch(t.Context(), "a/", 1); return err }},
		{"put", object, `{}`, true, func(c *store.Client) error { _, err := c.Put(t.Context(), "a/b", 1, []byte("x")); return err }},
		{"hosts", "", `[{"name":"a"},{"name":"b"}]`, false, func(c *store.Client) error { _, err := c.Hosts(t.Context()); return err }},
	} {
		for _, f := range framings {
			t.Run(tt.name+" "+f.name, func(t *testing.T) {
				is := is.New(t)
				whole := "HTTP/1.1 200 OK\r\n" + tt.header + f.header(tt.body) + "\r\n" + f.body(tt.body)
				call := func(b string) error {
					c := store.New(serveBytes(t, b), store.WithTimeout(2*time.Second))
					defer c.Close()
					return tt.do(c)
				}
				var wg sync.WaitGroup
				running := make(chan struct{}, 32)
				needed := len(whole)
				if tt.bodyless && f.name == "close" {
					needed -= len(tt.body)
				}
				for n := range needed {
					running <- struct{}{}
					wg.Go(func() {
						defer func() { <-running }()
						if call(whole[:n]) == nil {
							t.Errorf("cut after %d of %d bytes: %q is taken for a response", n, len(whole), whole[:n])
						}
					})
				}
				wg.Wait()
				if f.name != "close" || tt.name != "get" {
					is.NoErr(call(whole))
				}
			})
		}
	}
}
