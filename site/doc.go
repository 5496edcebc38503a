// Package site holds the configuration of routed traffic: routes by host and
// path, services, workspaces with their keys and quotas. A [Config] is immutable;
// a newer one replaces it whole.
//
// # Usage
//
//	cfg := site.New(7, site.WithRoutes(routes...), site.WithTenancies(tenants...))
//	route, ok := cfg.Match("shop.example", "/orders/12")
//	t, ok := cfg.ByKey(key)
//
// # Matching
//
// Of the routes of a request's host, the one with the longest path prefix that
// begins the path wins. Paths are compared as they were sent, without cleaning.
package site
