package config

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// FleetKey is the platform object that holds the accepted configuration.
const FleetKey = "config/fleet"

// Duration is a time span that is written like 820ms in YAML and JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Fleet is the configuration that operators state for the whole fleet. It holds
// targets, never weights or addresses. Treat it as immutable.
type Fleet struct {
	Classes    []Class        `yaml:"classes" json:"classes"`
	Models     []Model        `yaml:"models" json:"models"`
	Services   []PlainService `yaml:"services" json:"services"`
	Workspaces []Workspace    `yaml:"workspaces" json:"workspaces"`
}

// Class is a class of work with its targets.
type Class struct {
	Name       string   `yaml:"name" json:"name"`
	FirstToken Duration `yaml:"first_token" json:"first_token"` // for 95 in 100 requests
	TokenGap   Duration `yaml:"token_gap" json:"token_gap"`     // between tokens, for 95 in 100
	Priority   int      `yaml:"priority" json:"priority"`       // passed to engines; lower runs first
}

// Model is a model that callers may name.
type Model struct {
	Name       string `yaml:"name" json:"name"`
	MaxContext int    `yaml:"max_context" json:"max_context"` // tokens of prompt and answer
	// Version is the version of the weights that shall carry the traffic. If it
	// is empty, all versions are taken as equal.
	Version string `yaml:"version,omitempty" json:"version,omitempty"`
	// MoveBy is when it shall carry all of it, in RFC 3339 form.
	MoveBy string `yaml:"move_by,omitempty" json:"move_by,omitempty"`
}

// PlainService is a service beside the engines.
type PlainService struct {
	Name   string  `yaml:"name" json:"name"`
	Routes []Route `yaml:"routes" json:"routes"`
}

// Route is a part of a plain service's paths.
type Route struct {
	Path       string   `yaml:"path" json:"path"` // prefix, starting with a slash
	Methods    []string `yaml:"methods" json:"methods"`
	Idempotent bool     `yaml:"idempotent" json:"idempotent"` // calls may be repeated
	Open       bool     `yaml:"open" json:"open"`             // needs no key
}

// Workspace is a tenant with its class, its keys and its budget.
type Workspace struct {
	Name  string  `yaml:"name" json:"name"`
	Class string  `yaml:"class" json:"class"`
	Rate  float64 `yaml:"rate" json:"rate"`   // tokens a second over the whole fleet
	Burst float64 `yaml:"burst" json:"burst"` // tokens
	Keys  []Key   `yaml:"keys" json:"keys"`
}

// Key is the stored form of a caller's key.
type Key struct {
	ID     string `yaml:"id" json:"id"`         // name for operators
	SHA256 string `yaml:"sha256" json:"sha256"` // hexadecimal hash of the key
}

// ParseFleet reads and checks a configuration in YAML.
func ParseFleet(file string, b []byte) (*Fleet, error) {
	var f Fleet
	d, err := decode(file, b, &f)
	if err != nil {
		return nil, err
	}
	if err := f.check(d); err != nil {
		return nil, err
	}
	return &f, nil
}

// ClassOf returns the class of the workspace w.
func (f *Fleet) ClassOf(w Workspace) Class {
	for _, c := range f.Classes {
		if c.Name == w.Class {
			return c
		}
	}
	return Class{}
}

// HasModel says whether callers may name the model.
func (f *Fleet) HasModel(name string) bool {
	for _, m := range f.Models {
		if m.Name == name {
			return true
		}
	}
	return false
}

// RouteOf returns the route of a service that has the longest matching path.
func (f *Fleet) RouteOf(service, method, path string) (Route, bool) {
	best, found := Route{}, false
	for _, s := range f.Services {
		if s.Name != service {
			continue
		}
		for _, r := range s.Routes {
			if r.matches(method, path) && (!found || len(r.Path) > len(best.Path)) {
				best, found = r, true
			}
		}
	}
	return best, found
}

// matches says whether the route covers the method and the path.
func (r Route) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	rest := path[len(r.Path):]
	if rest != "" && rest[0] != '/' && !strings.HasSuffix(r.Path, "/") {
		return false
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// check verifies names, references and bounds.
func (f *Fleet) check(d *document) error {
	classes, err := f.checkClasses(d)
	if err != nil {
		return err
	}
	if err := f.checkModels(d); err != nil {
		return err
	}
	if err := f.checkServices(d); err != nil {
		return err
	}
	return f.checkWorkspaces(d, classes)
}

// names collects names and finds empty and double ones.
type names map[string]bool

// add returns an error if the name at path is empty or was added before.
func (n names) add(d *document, path, name string) error {
	if name == "" || strings.ContainsAny(name, "/ \t\n") {
		return d.bad(path, "a name without spaces and slashes is required", "give it a short name")
	}
	if n[name] {
		return d.bad(path, fmt.Sprintf("the name %q is used twice", name), "rename one of the two")
	}
	n[name] = true
	return nil
}

func (f *Fleet) checkClasses(d *document) (names, error) {
	seen := names{}
	for i, c := range f.Classes {
		p := fmt.Sprintf("$.classes[%d]", i)
		if err := seen.add(d, p+".name", c.Name); err != nil {
			return nil, err
		}
		if c.FirstToken <= 0 {
			return nil, d.bad(p+".first_token", "a target above zero is required", "write for example 820ms")
		}
		if c.TokenGap < 0 {
			return nil, d.bad(p+".token_gap", "must not be negative", "write for example 47ms")
		}
	}
	return seen, nil
}

func (f *Fleet) checkModels(d *document) error {
	seen := names{}
	for i, m := range f.Models {
		p := fmt.Sprintf("$.models[%d]", i)
		if err := seen.add(d, p+".name", m.Name); err != nil {
			return err
		}
		if m.MoveBy != "" {
			if _, err := time.Parse(time.RFC3339, m.MoveBy); err != nil || m.Version == "" {
				return d.bad(p+".move_by", "a time in RFC 3339 form beside a version is required", "write for example 2026-12-04T18:00:00Z")
			}
		}
		if m.MaxContext < 0 {
			return d.bad(p+".max_context", "must not be negative", "write the tokens of prompt and answer, or leave it out")
		}
	}
	return nil
}

func (f *Fleet) checkServices(d *document) error {
	seen := names{}
	for i, s := range f.Services {
		p := fmt.Sprintf("$.services[%d]", i)
		if err := seen.add(d, p+".name", s.Name); err != nil {
			return err
		}
		for j, r := range s.Routes {
			if err := r.check(d, fmt.Sprintf("%s.routes[%d]", p, j)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r Route) check(d *document, p string) error {
	if !strings.HasPrefix(r.Path, "/") {
		return d.bad(p+".path", "a path starting with a slash is required", "write for example /bookings")
	}
	if len(r.Methods) == 0 {
		return d.bad(p+".methods", "at least one method is required", "write for example [GET, POST]")
	}
	for _, m := range r.Methods {
		switch m {
		case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		default:
			return d.bad(p+".methods", fmt.Sprintf("%q is not a method", m), "use GET, HEAD, POST, PUT, PATCH or DELETE")
		}
	}
	if r.Open && !r.Idempotent {
		return d.bad(p+".open", "an open route has no workspace to hold a claim", "make the route idempotent or ask for a key")
	}
	return nil
}

func (f *Fleet) checkWorkspaces(d *document, classes names) error {
	seen, hashes := names{}, map[string]bool{}
	for i, w := range f.Workspaces {
		p := fmt.Sprintf("$.workspaces[%d]", i)
		if err := seen.add(d, p+".name", w.Name); err != nil {
			return err
		}
		if !classes[w.Class] {
			return d.bad(p+".class", fmt.Sprintf("no class %q", w.Class), "name a class from the list of classes")
		}
		if w.Rate <= 0 || w.Burst <= 0 {
			return d.bad(p+".rate", "rate and burst must be above zero", "write tokens a second and tokens")
		}
		if err := checkKeys(d, p, w.Keys, hashes); err != nil {
			return err
		}
	}
	return nil
}

func checkKeys(d *document, p string, keys []Key, hashes map[string]bool) error {
	ids := names{}
	for j, k := range keys {
		kp := fmt.Sprintf("%s.keys[%d]", p, j)
		if err := ids.add(d, kp+".id", k.ID); err != nil {
			return err
		}
		if b, err := hex.DecodeString(k.SHA256); err != nil || len(b) != 32 {
			return d.bad(kp+".sha256", "64 hexadecimal digits are required", "run vanectl key hash and paste its output")
		}
		if hashes[k.SHA256] {
			return d.bad(kp+".sha256", "the same key stands twice", "give each workspace keys of its own")
		}
		hashes[k.SHA256] = true
	}
	return nil
}
