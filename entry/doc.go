// Package entry is the callers' side of a node: HTTP in, whole answers out.
//
// It recognises the workspace by its key, checks the request, takes the tokens
// from the workspace's budget, waits for a fair turn and hands the request to
// package route. Every refusal is a typed error with a reason, a remedy and the
// word whether the request may have run.
//
// # Usage
//
//	s := entry.New(deps, entry.WithBounds(settings.Callers))
//	srv := &http.Server{Handler: s.Handler()}
//
// # Paths
//
// POST /v1/chat/completions, GET /v1/models, GET /v1/entries and
// /v1/services/{service}/… are served; see docs/CALLERS.md.
package entry
