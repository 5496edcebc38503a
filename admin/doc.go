// Package admin is the operators' side: it applies configurations and asks nodes
// for their status and their part of the time line.
//
// # Usage
//
//	rev, err := admin.Apply(ctx, st, fleet, admin.AnyRevision)
//	c := admin.NewClient("10.0.0.7:8081", "10.0.0.8:8081")
//	sts := c.Status(ctx)
//	events := c.Timeline(ctx, event.Filter{Workspace: "taller-sur"})
package admin
