// Package conns exchanges requests with upstreams over connections that carry one
// exchange at a time.
//
// # Usage
//
//	p := conns.NewPool()
//	ans, err := p.Do(ctx, conns.Request{Addr: u.Addr, Method: "POST", Target: "/a/b?c", Host: host, Header: h, Body: body, Match: match})
//	if err != nil { … err.(*conns.Error).Sent tells whether bytes can have reached the upstream … }
//	defer ans.Close()
//
// # Why not http.Transport
//
// A transport resends a request by itself when a kept connection turns out to be
// closed, decompresses answers, and hands a late or surplus answer to the next
// request on the connection. Here a request is written at most once, an answer
// that belongs to another request is skipped, and a connection with any doubt is
// closed rather than kept.
package conns
