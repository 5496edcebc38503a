// Package front serves callers of routed traffic: it finds the route and the
// workspace of a request, sends it to an upstream, and relays the answer.
//
// # Usage
//
//	h := front.New(front.Deps{View: view, Dialect: d, Placer: p, Pool: pool, Quota: q, …})
//	http.Serve(ln, h)
//
// # What a status promises
//
// 429 and 503 mean that the request has not run and will not: they are used only
// while every upstream that it was sent to has stated that, or no byte of it was
// sent. 502 and 504 leave it open.
//
// # Streams
//
// Only whole events are relayed, so that a stream can go on at another upstream
// after its last whole event. A stream that can't go on ends visibly broken.
package front
