package admin

import (
	"context"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/pmezard/go-difflib/difflib"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/config"
)

// AnyRevision applies a configuration whatever is in force.
const AnyRevision = ^uint64(0)

// applyTries bounds how often Apply reads again after losing a race.
const applyTries = 5

// Current returns the accepted configuration and its revision. The revision is
// zero if there is none.
func Current(ctx context.Context, st vane.Store) (*config.Fleet, uint64, error) {
	o, err := st.Get(ctx, config.FleetKey)
	if vane.KindOf(err) == vane.KindNotFound && err != nil {
		return &config.Fleet{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	f, err := config.DecodeFleet(o.Value)
	return f, o.Version, err
}

// Apply has the platform accept the configuration and returns its revision. If
// base is not AnyRevision, the configuration is accepted only while base is the
// revision in force; otherwise the error shows what another operator changed.
func Apply(ctx context.Context, st vane.Store, f *config.Fleet, base uint64) (uint64, error) {
	value, err := f.Encode()
	if err != nil {
		return 0, err
	}
	for range applyTries {
		cur, rev, err := Current(ctx, st)
		if err != nil {
			return 0, err
		}
		if base != AnyRevision && rev != base {
			return 0, raced(cur, f, rev, base)
		}
		rev, err = st.Put(ctx, config.FleetKey, rev, value)
		if err == nil {
			return rev, nil
		}
		if vane.KindOf(err) != vane.KindConflict {
			return 0, err
		}
	}
	return 0, vane.Errorf(vane.KindConflict, "admin.apply", "agree on who applies, then apply again", "other operators keep changing the configuration")
}

// raced reports that another operator was first, with the difference.
func raced(cur, mine *config.Fleet, rev, base uint64) error {
	return vane.Errorf(vane.KindConflict, "admin.apply",
		fmt.Sprintf("take the change over and apply again with --base %d", rev),
		"revision %d is in force, not %d; what is in force differs from yours:\n%s", rev, base, Diff(cur, mine))
}

// Diff returns the difference between two configurations as YAML.
func Diff(a, b *config.Fleet) string {
	ya, _ := yaml.Marshal(a)
	yb, _ := yaml.Marshal(b)
	s, _ := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(ya)), B: difflib.SplitLines(string(yb)),
		FromFile: "in force", ToFile: "yours", Context: 2,
	})
	return s
}
