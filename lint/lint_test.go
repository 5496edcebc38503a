package lint_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mustardvane.org/vane/config"
	"mustardvane.org/vane/lint"
)

var now = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

const good = `classes:
  - name: quoting
    first_token: 820ms
models:
  - name: quill
    max_context: 1000
    version: v2
    move_by: 2027-01-31T18:00:00Z
services:
  - name: booking
    routes:
      - path: /stock
        methods: [GET]
      - path: /stock/
        methods: [GET]
workspaces:
  - name: w1
    class: quoting
    rate: 1
    burst: 1000
    keys:
      - id: k
        sha256: 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae
`

// parse returns the good configuration with old replaced by repl.
func parse(t *testing.T, old, repl string) *config.Fleet {
	t.Helper()
	is := is.New(t)
	is.True(strings.Contains(good, old))
	f, err := config.ParseFleet("fleet.yaml", []byte(strings.Replace(good, old, repl, 1)))
	is.NoErr(err)
	return f
}

// TestCheck guards against a rule that misses its fault, and against findings in a
// configuration without faults.
func TestCheck(t *testing.T) {
	key := "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
	for _, tt := range []struct{ name, old, repl, want string }{
		{"good", "", "", ""},
		{"unused class", "models:", "  - name: spare\n    first_token: 1s\nmodels:", "warning class_unused $.classes[1].name"},
		{"overdue move", "2027", "2025", "warning move_overdue $.models[0].move_by"},
		{"no route", "workspaces:", "  - name: idle\nworkspaces:", "warning service_without_route $.services[1].name"},
		{"same route", "workspaces:", "      - path: /stock\n        methods: [GET]\nworkspaces:", "warning route_shadowed $.services[0].routes[2].path"},
		{"same method", "workspaces:", "      - path: /stock\n        methods: [GET, PUT]\nworkspaces:", "warning method_shadowed $.services[0].routes[2].path"},
		{"other method", "workspaces:", "      - path: /stock\n        methods: [PUT]\nworkspaces:", ""},
		{"small burst", "burst: 1000", "burst: 999", "warning burst_below_context $.workspaces[0].burst"},
		{"no context stated", "max_context: 1000", "max_context: 0", ""},
		{"no key", "      - id: k\n        sha256: " + key + "\n", "      []\n", "warning workspace_without_key $.workspaces[0].name"},
		{"same key in capitals", key + "\n", key + "\n      - id: l\n        sha256: " + strings.ToUpper(key) + "\n", "error key_duplicate $.workspaces[0].keys[1].sha256"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, f := range lint.Check(parse(t, tt.old, tt.repl), now) {
				got = append(got, f.Severity.String()+" "+f.Rule+" "+f.Field)
				is.True(f.Problem != "" && f.Remedy != "")
			}
			is.Equal(strings.Join(got, "\n"), tt.want)
		})
	}
}

// TestCheckServed guards against a model that callers may request and no engine serves.
func TestCheckServed(t *testing.T) {
	is := is.New(t)
	f := parse(t, "", "")
	is.Equal(len(lint.CheckServed(f, []string{"other", "quill"})), 0)
	got := lint.CheckServed(f, []string{"other"})
	is.Equal(len(got), 1)
	is.Equal(got[0].Rule, "model_without_upstream")
}

// TestDiff guards against changes that are missed, and against entries that are
// reported as changed because others moved.
func TestDiff(t *testing.T) {
	for _, tt := range []struct{ name, old, repl, want string }{
		{"same", "", "", ""},
		{"value", "burst: 1000", "burst: 2000000", "changed workspaces[w1].burst 1000 2000000"},
		{"duration", "820ms", "1s", "changed classes[quoting].first_token 820ms 1s"},
		{"list", "methods: [GET]", "methods: [GET, PUT]", "changed services[booking].routes[/stock].methods [GET] [GET PUT]"},
		{"added in front", "  - name: quoting", "  - name: first\n    first_token: 1s\n  - name: quoting", "added classes[first]"},
		{"renamed", "id: k", "id: l", "removed workspaces[w1].keys[k]\nadded workspaces[w1].keys[l]"},
		{"repeated route", "workspaces:", "      - path: /stock\n        methods: [PUT]\nworkspaces:", "added services[booking].routes[/stock#2]"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, c := range lint.Diff(parse(t, "", ""), parse(t, tt.old, tt.repl)) {
				got = append(got, strings.TrimSpace(strings.Join([]string{c.Kind.String(), c.Field, c.Old, c.New}, " ")))
			}
			is.Equal(strings.Join(got, "\n"), tt.want)
		})
	}
}
