package lint

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"mustardvane.org/vane/config"
)

// Change is one difference between two configurations.
type Change struct {
	Field string `json:"field"` // path of the field; elements of lists by their names, for example workspaces[taller-sur].burst
	Old   string `json:"old"`   // value before; empty unless Kind is Changed
	New   string `json:"new"`   // value after; empty unless Kind is Changed
	Kind  Kind   `json:"kind"`
}

// Kind tells what happened to a field.
type Kind int

// Kinds of change.
const (
	Changed Kind = iota
	Added
	Removed
)

// String returns the name in snake case, or "unknown".
func (k Kind) String() string {
	switch k {
	case Changed:
		return "changed"
	case Added:
		return "added"
	case Removed:
		return "removed"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Diff returns the changes from a to b, field by field. Entries of lists are matched
// by their names, keys by their IDs and routes by their paths. The order of entries does
// not count, except among routes with the same path, of which the first match decides.
func Diff(a, b *config.Fleet) []Change {
	var out []Change
	compare("", reflect.ValueOf(*a), reflect.ValueOf(*b), &out)
	return out
}

// compare appends the changes from a to b, of the same type, to out.
func compare(path string, a, b reflect.Value, out *[]Change) {
	switch {
	case a.Kind() == reflect.Struct:
		for i := range a.NumField() {
			name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
			compare(strings.TrimPrefix(path+"."+name, "."), a.Field(i), b.Field(i), out)
		}
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		compareLists(path, a, b, out)
	default:
		if x, y := text(a), text(b); x != y {
			*out = append(*out, Change{Field: path, Old: x, New: y, Kind: Changed})
		}
	}
}

// compareLists matches the entries of two lists by label.
func compareLists(path string, a, b reflect.Value, out *[]Change) {
	la, lb := labels(a), labels(b)
	for i, l := range la {
		p := fmt.Sprintf("%s[%s]", path, l)
		if j := slices.Index(lb, l); j >= 0 {
			compare(p, a.Index(i), b.Index(j), out)
		} else {
			*out = append(*out, Change{Field: p, Kind: Removed})
		}
	}
	for _, l := range lb {
		if !slices.Contains(la, l) {
			*out = append(*out, Change{Field: fmt.Sprintf("%s[%s]", path, l), Kind: Added})
		}
	}
}

// labels returns the name, ID or path of each entry of a list. Repeated labels are
// numbered, for example /stock and /stock#2.
func labels(list reflect.Value) []string {
	out, count := make([]string, list.Len()), map[string]int{}
	for i := range out {
		for _, n := range []string{"Name", "ID", "Path"} {
			if f := list.Index(i).FieldByName(n); f.IsValid() {
				out[i] = f.String()
				break
			}
		}
		count[out[i]]++
		if n := count[out[i]]; n > 1 {
			out[i] = fmt.Sprintf("%s#%d", out[i], n)
		}
	}
	return out
}

// text returns the value of a field as it is written in YAML.
func text(v reflect.Value) string {
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		if b, err := m.MarshalText(); err == nil {
			return string(b)
		}
	}
	if v.Kind() == reflect.Float64 {
		return fmt.Sprintf("%.15g", v.Float())
	}
	return fmt.Sprint(v.Interface())
}
