// Package conns exchanges requests with upstreams over connections that carry one
// exchange at a time.
//
// # Usage
//
//	p := conns.NewPool()
//	resp, err := p.Do(ctx, conns.Request{Addr: u.Addr, Method: "POST", Target: "/a/b?c", Host: host, Header: h, Body: body, Match: match})
//	if err != nil { … err.(*conns.Error).Sent reports whether bytes may have reached the upstream … }
//	defer resp.Close()
//
// # Why not http.Transport
//
// An http.Transport resends a request by itself when a kept connection turns out to
// be closed, decompresses responses, and hands a late or surplus response to the
// next request on the connection. Here a request is written at most once, a
// response that belongs to another request is skipped, and a connection is kept
// only if its state is known.
package conns
