// Package config reads a node's settings and the fleet's configuration.
//
// Settings come from a YAML file that a node reads when it starts; unknown fields
// are errors. The fleet's configuration is a document that operators write in YAML
// and that the platform stores as one versioned object, so that a change is accepted
// or rejected as a whole and every node sees the same sequence of revisions.
//
// # Usage
//
//	s, err := config.ReadSettings("vaned.yaml")
//	f, err := config.ParseFleet("fleet.yaml", b)
//	svc := config.NewService(st, rec)
//	ws, ok := svc.Current().WorkspaceByKey(key)
//
// # Errors
//
// An invalid field is reported as a [*FieldError] with the file, the line, the
// problem and the remedy.
package config
