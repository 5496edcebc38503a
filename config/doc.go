// Package config reads a node's settings and the fleet's accepted
// configuration.
//
// Settings are a strict YAML file that one node reads when it starts. The
// fleet's configuration is a document that operators write in YAML and that the
// platform keeps as one versioned object, so that a change is accepted or
// refused as a whole and every node sees the same sequence of revisions.
//
// # Usage
//
//	s, err := config.ReadSettings("vaned.yaml")
//	f, err := config.ParseFleet("fleet.yaml", b)
//	svc := config.NewService(st, rec)
//	svc.Current().Fleet.WorkspaceByKey(hash)
//
// # Errors
//
// A bad field is reported as a [*FieldError] with file, line, what was expected
// and the remedy.
package config
