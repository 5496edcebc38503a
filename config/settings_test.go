package config_test

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/config"
)

const goodSettings = `node:
  name: vane-1
  data_centre: mvd-1
listen:
  callers: 127.0.0.1:8080
  admin: 127.0.0.1:8081
  peers: 127.0.0.1:8082
platform:
  url: http://127.0.0.1:7000
peers:
  secret: sixteen-or-more-characters
`

func TestSettings(t *testing.T) {
	is := is.New(t)
	s, err := config.ParseSettings("vaned.yaml", []byte(goodSettings))
	is.NoErr(err)
	is.Equal(s.Listen.Advertise, s.Listen.Callers) // advertise defaults to callers
	is.Equal(s.Drain, config.DefaultSettings().Drain)
}

func TestBadSettings(t *testing.T) {
	change := func(old, repl string) string { return strings.Replace(goodSettings, old, repl, 1) }
	for _, tt := range []struct {
		name, in string
		line     int    // line that the error must name
		want     string // substring of the error message
	}{
		{"unknown field", change("  data_centre:", "  rack: 7\n  data_centre:"), 3, "unknown field"},
		{"misspelt section", change("listen:", "listens:"), 4, "unknown field"},
		{"no name", change("name: vane-1", "name: ''"), 2, "node.name"},
		{"not an address", change("admin: 127.0.0.1:8081", "admin: localhost"), 6, "listen.admin"},
		{"host name", change("peers: 127.0.0.1:8082", "peers: host:8082"), 7, "IP address"},
		{"not a URL", change("http://127.0.0.1:7000", "somewhere"), 9, "platform.url"},
		{"short secret", change("sixteen-or-more-characters", "short"), 11, "16 characters"},
		{"bad duration", change("platform:", "drain:\n  max_wait: soon\nplatform:"), 9, "duration"},
		{"duration out of range", change("platform:", "drain:\n  max_wait: 1ms\nplatform:"), 9, "drain.max_wait"},
		{"size out of range", change("platform:", "callers:\n  max_body_bytes: 3\nplatform:"), 9, "max_body_bytes"},
		{"memory can't hold the largest body", change("platform:", "memory:\n  limit_mb: 64\ncallers:\n  max_body_bytes: 8388608\nplatform:"), 11, "max_body_bytes"},
		{"certificate without key", change("platform:", "tls:\n  callers:\n    cert: a.pem\nplatform:"), 10, "tls.callers"},
		{"bad seed", change("peers:\n  secret", "peers:\n  seeds: [nowhere]\n  secret"), 11, "peers.seeds"},
		{"not YAML", "node: [", 1, ""},
		{"empty", "", 1, "required"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := config.ParseSettings("vaned.yaml", []byte(tt.in))
			var fe *config.FieldError
			is.True(errors.As(err, &fe))
			is.Equal(fe.Line, tt.line)
			is.True(strings.Contains(err.Error(), tt.want))
			is.True(strings.HasPrefix(err.Error(), "vaned.yaml:"))
			is.True(fe.Remedy != "")
		})
	}
}

const goodFleet = `classes:
  - name: interactive
    first_token: 820ms
models:
  - name: quill
services:
  - name: booking
    routes:
      - path: /bookings
        methods: [POST]
workspaces:
  - name: taller-sur
    class: interactive
    rate: 1000
    burst: 5000
    keys:
      - id: first
        sha256: 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae
`

func TestBadFleet(t *testing.T) {
	change := func(old, repl string) string { return strings.Replace(goodFleet, old, repl, 1) }
	for _, tt := range []struct {
		name, in string
		line     int    // line that the error must name; 0 if the configuration is valid
		want     string // substring of the error message
	}{
		{"good", goodFleet, 0, ""},
		{"weight", change("    rate:", "    weight: 3\n    rate:"), 14, "unknown field"},
		{"address", change("  - name: quill", "  - name: quill\n    addr: 10.0.0.1:1"), 6, "unknown field"},
		{"unknown class", change("class: interactive", "class: batch"), 13, "no class"},
		{"duplicate name", change("  - name: quill", "  - name: quill\n  - name: quill"), 6, "used twice"},
		{"no target", change("820ms", "0s"), 3, "first_token"},
		{"no rate", change("rate: 1000", "rate: 0"), 14, "rate"},
		{"key not hashed", change("2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae", "my-key"), 18, "sha256"},
		{"bad method", change("[POST]", "[FETCH]"), 10, "methods"},
		{"bad path", change("/bookings", "bookings"), 9, "path"},
		{"open but not idempotent", change("        methods:", "        open: true\n        methods:"), 10, "open"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f, err := config.ParseFleet("fleet.yaml", []byte(tt.in))
			if tt.line == 0 {
				is.NoErr(err)
				b, err := f.Encode()
				is.NoErr(err)
				back, err := config.DecodeFleet(b)
				is.NoErr(err)
				is.Equal(back, f)
				return
			}
			var fe *config.FieldError
			is.True(errors.As(err, &fe))
			is.Equal(fe.Line, tt.line)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}

// TestLargeFleet checks that a configuration of the design size, 5,400 workspaces,
// encodes to at most 1 MiB, so that it fits one platform object, and decodes with
// all workspaces, and that a truncated one is rejected.
func TestLargeFleet(t *testing.T) {
	is := is.New(t)
	f := fleetOf(5400)
	b, err := f.Encode()
	is.NoErr(err)
	is.True(len(b) <= 1<<20)
	back, err := config.DecodeFleet(b)
	is.NoErr(err)
	is.Equal(len(back.Workspaces), 5400)
	is.Equal(back.Workspaces[5399], f.Workspaces[5399])
	_, err = config.DecodeFleet(b[:len(b)/2])
	is.True(err != nil) // truncated input must be rejected
}

func TestFindRoute(t *testing.T) {
	f := &config.Fleet{Services: []config.PlainService{{Name: "s", Routes: []config.Route{
		{Path: "/a", Methods: []string{"GET"}, Idempotent: true}, {Path: "/a/b", Methods: []string{"GET"}},
	}}}}
	for _, tt := range []struct {
		service, method, path, want string
	}{
		{"s", "GET", "/a", "/a"}, {"s", "GET", "/a/x", "/a"}, {"s", "GET", "/a/b/c", "/a/b"}, {"s", "GET", "/ab", ""},
		{"s", "POST", "/a", ""}, {"t", "GET", "/a", ""},
	} {
		t.Run(tt.method+tt.path, func(t *testing.T) {
			is := is.New(t)
			r, _ := f.FindRoute(tt.service, tt.method, tt.path)
			is.Equal(r.Path, tt.want)
		})
	}
}

// TestSettingsReference checks that the settings reference names every field, and
// that the annotated examples of the settings and of the configuration load.
func TestSettingsReference(t *testing.T) {
	is := is.New(t)
	ref, err := os.ReadFile("../docs/SETTINGS.md")
	is.NoErr(err)
	var walk func(prefix string, ty reflect.Type)
	walk = func(prefix string, ty reflect.Type) {
		for i := range ty.NumField() {
			f := ty.Field(i)
			name := prefix + f.Tag.Get("yaml")
			if f.Type.Kind() == reflect.Struct {
				walk(name+".", f.Type)
				continue
			}
			if !strings.Contains(string(ref), "`"+name+"`") {
				t.Errorf("docs/SETTINGS.md does not name %s", name)
			}
		}
	}
	walk("", reflect.TypeFor[config.Settings]())
	_, err = config.ReadSettings("../docs/vaned.yaml")
	is.NoErr(err)
	b, err := os.ReadFile("../docs/fleet.yaml")
	is.NoErr(err)
	_, err = config.ParseFleet("fleet.yaml", b)
	is.NoErr(err)
}

// FuzzSettings checks that every error of ParseSettings begins with the file's name,
// for any input.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Add([]byte("node: {name: [}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, in []byte) {
		if _, err := config.ParseSettings("f", in); err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Fatalf("error without a position: %v", err)
		}
	})
}
