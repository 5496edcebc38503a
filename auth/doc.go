// Package auth identifies workspaces by the API keys that callers present.
//
// Keys are compared by hash and are not passed on to upstreams. Whether a node has
// recent enough information on withdrawn keys to accept any is decided by a
// [Freshness] function.
//
// # Usage
//
//	ws, err := auth.Workspace(r.Header, view, fresh)
//	auth.Strip(r.Header)
package auth
