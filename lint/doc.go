// Package lint finds entries of a valid fleet configuration that can't have the
// effect that they state, and compares two configurations.
//
// Package config refuses configurations that are invalid. This package looks at what
// is left: entries that can never match, and limits that contradict each other. All
// functions are pure; the time is an argument.
//
// # Usage
//
//	for _, f := range lint.Check(fleet, time.Now()) {
//		fmt.Println(f.Severity, f.Field, f.Problem, f.Remedy)
//	}
//	changes := lint.Diff(inForce, fleet)
package lint
