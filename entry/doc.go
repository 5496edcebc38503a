// Package entry is the HTTP server for callers of a node.
//
// It identifies the workspace by its key, checks the request, reserves its tokens
// in the workspace's budget, waits in the fair queue and passes the request to
// package route. Every refusal is a [*vane.Refusal] with a reason, a remedy and the
// statement whether the request may have run.
//
// # Usage
//
//	s := entry.New(deps, entry.WithBounds(settings.Callers))
//	srv := &http.Server{Handler: s.Handler(), ConnContext: linger.ConnContext}
//
// # Paths
//
// POST /v1/chat/completions, GET /v1/models, GET /v1/entries and
// /v1/services/{service}/… are served; see docs/CALLERS.md.
package entry
