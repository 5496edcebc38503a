// Package front serves callers of routed traffic: it matches a request to a route
// and a workspace, sends it to an upstream and relays the response.
//
// # Usage
//
//	h := front.New(front.Deps{View: view, Dialect: d, Placer: p, Pool: pool, Quota: q, …})
//	http.Serve(ln, h)
//
// # Status codes
//
// 429 and 503 state that the request has not run and will not run. They are sent
// only if every upstream that received the request stated that it did not run it,
// or if no byte of it was sent. 502 and 504 leave open whether the request ran.
//
// # Streams
//
// Only complete events are relayed, so that another upstream can resume a stream
// after its last complete event. If a stream can't be resumed, the connection is
// closed without the end of the body, so that the caller sees an incomplete
// response.
//
// # Responses without a stated end
//
// A response with neither a length nor chunks reaches the caller without them. Its
// end proves nothing by itself: it is taken for whole only if the process that got the
// request still runs, and until then every end of the caller's connection resets it.
package front
