package admin

import (
	"context"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/pmezard/go-difflib/difflib"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/config"
)

// AnyRevision makes Apply replace the configuration in force whatever its revision.
const AnyRevision = ^uint64(0)

// maxApplyAttempts is how often Apply tries to write when others change the
// configuration between its read and its write.
const maxApplyAttempts = 5

// Current returns the configuration in force and its revision. If there is none, it
// returns an empty configuration and revision zero.
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

// Apply stores the configuration on the platform and returns its revision. If base is
// not AnyRevision, it does so only while base is the revision in force; otherwise it
// returns an error of KindConflict that shows the difference from the configuration in
// force.
func Apply(ctx context.Context, st vane.Store, f *config.Fleet, base uint64) (uint64, error) {
	value, err := f.Encode()
	if err != nil {
		return 0, err
	}
	for range maxApplyAttempts {
		cur, rev, err := Current(ctx, st)
		if err != nil {
			return 0, err
		}
		if base != AnyRevision && rev != base {
			return 0, conflictError(cur, f, rev, base)
		}
		rev, err = st.Put(ctx, config.FleetKey, rev, value)
		if err == nil {
			return rev, nil
		}
		if vane.KindOf(err) != vane.KindConflict {
			return 0, err
		}
	}
	return 0, vane.Errorf(vane.KindConflict, "admin.apply", "agree with the other operators on who applies, then apply again", "others changed the configuration during each attempt to apply it")
}

// conflictError returns the error for a base that is not the revision rev in force, with
// the difference between the configuration in force, cur, and the one to be applied.
func conflictError(cur, desired *config.Fleet, rev, base uint64) error {
	return vane.Errorf(vane.KindConflict, "admin.apply",
		fmt.Sprintf("merge the change into your configuration and apply again with --base %d", rev),
		"revision %d is in force, not %d; difference between the configuration in force and yours:\n%s", rev, base, Diff(cur, desired))
}

// Diff returns the unified diff from a to b in YAML, empty if they are equal. Its headings
// call a "in force" and b "yours".
func Diff(a, b *config.Fleet) string {
	ya, _ := yaml.Marshal(a)
	yb, _ := yaml.Marshal(b)
	s, _ := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(ya)), B: difflib.SplitLines(string(yb)),
		FromFile: "in force", ToFile: "yours", Context: 2,
	})
	return s
}
