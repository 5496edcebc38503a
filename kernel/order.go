package kernel

import (
	"maps"
	"slices"

	vane "mustardvane.org/vane"
)

// mark is the state of a service during the sort.
type mark int

const (
	unseen mark = iota
	open
	placed
)

// sorter is a depth-first topological sort.
type sorter struct {
	units map[string]*unit
	state map[string]mark
	out   []*unit
}

// visit places the named service after those it needs.
func (s *sorter) visit(name, from string) error {
	u, ok := s.units[name]
	if !ok {
		return vane.Errorf(vane.KindNotFound, "kernel.sort", "register it", "service %q needs %q, which is not registered", from, name)
	}
	switch s.state[name] {
	case placed:
		return nil
	case open:
		return vane.Errorf(vane.KindInvalid, "kernel.sort", "break the cycle", "service %q needs itself through %q", name, from)
	}
	s.state[name] = open
	for _, n := range u.needs {
		if err := s.visit(n, name); err != nil {
			return err
		}
	}
	s.state[name] = placed
	s.out = append(s.out, u)
	return nil
}

// sortedNames returns the keys of units in order.
func sortedNames(units map[string]*unit) []string {
	return slices.Sorted(maps.Keys(units))
}
