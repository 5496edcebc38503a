// Package admin is a client for operators: it applies configurations, and queries nodes
// for their status and their events.
//
// # Usage
//
//	rev, err := admin.Apply(ctx, st, fleet, admin.AnyRevision)
//	c := admin.NewClient("10.0.0.7:8081", "10.0.0.8:8081")
//	sts := c.Status(ctx)
//	events, errs := c.Timeline(ctx, event.Filter{Workspace: "taller-sur"})
package admin
