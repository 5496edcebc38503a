// Package auth recognises workspaces by the keys that callers present.
//
// Keys are compared by hash and never leave this package. How long a node may
// accept keys without fresh word of withdrawals is decided by a [Freshness].
//
// # Usage
//
//	ws, err := auth.Workspace(r.Header, view, fresh)
//	auth.Strip(r.Header)
package auth
