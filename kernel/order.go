package kernel

import (
	"maps"
	"slices"

	vane "mustardvane.org/vane"
)

// visitState is the state of a service during the topological sort.
type visitState int

const (
	unvisited visitState = iota
	visiting             // its dependencies are being visited; meeting it again is a cycle
	visited
)

// topoSorter sorts services topologically by depth-first search.
type topoSorter struct {
	services map[string]*registration
	state    map[string]visitState
	out      []*registration // sorted so far
}

// visit appends the named service to the output, after those that it depends on. The
// service from, empty for a root of the search, depends on it. The error is of
// KindNotFound if the service is not registered, and of KindInvalid if there is a cycle.
func (s *topoSorter) visit(name, from string) error {
	u, ok := s.services[name]
	if !ok {
		return vane.Errorf(vane.KindNotFound, "kernel.sort", "register the missing service", "service %q depends on %q, which is not registered", from, name)
	}
	switch s.state[name] {
	case visited:
		return nil
	case visiting:
		return vane.Errorf(vane.KindInvalid, "kernel.sort", "remove the dependency cycle", "service %q depends on itself through %q", name, from)
	}
	s.state[name] = visiting
	for _, n := range u.needs {
		if err := s.visit(n, name); err != nil {
			return err
		}
	}
	s.state[name] = visited
	s.out = append(s.out, u)
	return nil
}

// sortedNames returns the names of services in alphabetical order.
func sortedNames(services map[string]*registration) []string {
	return slices.Sorted(maps.Keys(services))
}
