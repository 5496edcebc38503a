// Package linger makes the end of a connection tell whether its last response was whole.
//
// A response of HTTP/1 without a length and chunks ends with its connection. If the process
// that sends it ends early, or closes its connections, the kernel ends them in order, and a
// part of the response looks like the whole. While such a response is sent, its connection
// is therefore set so that any end resets it.
//
// # Usage
//
//	srv := &http.Server{Handler: h, ConnContext: linger.ConnContext}
//	...
//	err := linger.Begin(r) // before the response's first bytes
//	...
//	err = linger.End(w, r) // after its last bytes
package linger

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// ConnContext is the ConnContext of an http.Server whose handlers use this package.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Begin makes every end of the request's connection reset it, also the end of the process.
// It returns an error if the server does not use [ConnContext], or if the connection is no
// TCP connection or has ended.
func Begin(r *http.Request) error { return setLinger(r, 0) }

// End ends what [Begin] began: it sends what the server has buffered, after which the
// connection is closed in order.
func End(w http.ResponseWriter, r *http.Request) error {
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	return setLinger(r, -1)
}

// setLinger sets SO_LINGER, in seconds, of the request's connection. A negative value turns
// it off.
func setLinger(r *http.Request, sec int) error {
	c := r.Context().Value(connKey{})
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	l, ok := c.(interface{ SetLinger(sec int) error })
	if !ok {
		return errors.Errorf("the connection to the caller is %T; use linger.ConnContext with TCP", c)
	}
	return l.SetLinger(sec)
}
