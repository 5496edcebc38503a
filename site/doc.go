// Package site holds the configuration of the traffic that is routed: routes by
// host and path, services, and workspaces with their API keys and quotas. A
// [Config] is immutable; a new version replaces it as a whole.
//
// # Usage
//
//	cfg := site.New(7, site.WithRoutes(routes...), site.WithWorkspaces(workspaces...))
//	route, ok := cfg.Match("shop.example", "/orders/12")
//	ws, ok := cfg.WorkspaceByKey(key)
//
// # Matching
//
// A request takes the route of its host with the longest prefix of the request's
// path. Paths are compared as they were sent, without cleaning.
package site
