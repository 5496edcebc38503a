package config

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// FleetKey is the key of the platform object that stores the accepted configuration.
const FleetKey = "config/fleet"

// Duration is a time.Duration that is written in YAML and JSON as text such as
// 820ms.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Fleet is the configuration that operators write for the whole fleet. It states
// targets, but neither routing weights nor upstream addresses. Treat it as
// immutable.
type Fleet struct {
	Classes    []Class        `yaml:"classes" json:"classes"`
	Models     []Model        `yaml:"models" json:"models"`
	Services   []PlainService `yaml:"services" json:"services"`
	Workspaces []Workspace    `yaml:"workspaces" json:"workspaces"`
}

// Class is a service class with its latency targets.
type Class struct {
	Name       string   `yaml:"name" json:"name"`
	FirstToken Duration `yaml:"first_token" json:"first_token"` // target for the 95th percentile of the time to the first token
	TokenGap   Duration `yaml:"token_gap" json:"token_gap"`     // target for the 95th percentile of the time between tokens; 0 for none
	Priority   int      `yaml:"priority" json:"priority"`       // priority stated to engines; requests with lower values run first
}

// Model is a model that callers may request.
type Model struct {
	Name       string `yaml:"name" json:"name"`
	MaxContext int    `yaml:"max_context" json:"max_context"` // tokens of prompt and answer together, at most; 0 for no limit stated
	// Version is the version of the weights that is to serve the traffic. If it is
	// empty, all versions are treated as equal.
	Version string `yaml:"version,omitempty" json:"version,omitempty"`
	// MoveBy is the deadline by which Version is to serve all traffic, in RFC 3339
	// form. It may be empty.
	MoveBy string `yaml:"move_by,omitempty" json:"move_by,omitempty"`
}

// PlainService is an HTTP service, other than the inference engines, to which the
// router forwards requests.
type PlainService struct {
	Name   string  `yaml:"name" json:"name"`
	Routes []Route `yaml:"routes" json:"routes"`
}

// Route states how requests below one path of a plain service are treated.
type Route struct {
	Path       string   `yaml:"path" json:"path"` // path prefix, starting with a slash
	Methods    []string `yaml:"methods" json:"methods"`
	Idempotent bool     `yaml:"idempotent" json:"idempotent"` // requests may be executed more than once, so the router may retry them
	Open       bool     `yaml:"open" json:"open"`             // requests are accepted without a key
}

// Workspace is a tenant with its class, keys and token budget.
type Workspace struct {
	Name  string  `yaml:"name" json:"name"`
	Class string  `yaml:"class" json:"class"`
	Rate  float64 `yaml:"rate" json:"rate"`   // budget of the whole fleet in tokens per second
	Burst float64 `yaml:"burst" json:"burst"` // tokens that may be used at once
	Keys  []Key   `yaml:"keys" json:"keys"`
}

// Key is the stored form of a caller's key. The key itself is not stored.
type Key struct {
	ID     string `yaml:"id" json:"id"`         // name of the key, for operators
	SHA256 string `yaml:"sha256" json:"sha256"` // hash of the key in hexadecimal, see HashKey
}

// ParseFleet parses and validates a configuration in YAML. file is used in error
// messages only. Errors are of type *FieldError.
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

// ClassOf returns the class of the workspace w, or the zero Class if it is not
// configured.
func (f *Fleet) ClassOf(w Workspace) Class {
	for _, c := range f.Classes {
		if c.Name == w.Class {
			return c
		}
	}
	return Class{}
}

// HasModel reports whether callers may request the model.
func (f *Fleet) HasModel(name string) bool {
	for _, m := range f.Models {
		if m.Name == name {
			return true
		}
	}
	return false
}

// FindRoute returns the route of a service with the longest path that matches, and
// false if none matches.
func (f *Fleet) FindRoute(service, method, path string) (Route, bool) {
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

// matches reports whether the route covers the method and the path. The route's
// path matches whole path segments only.
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

// check validates names, references and ranges. d serves to find the lines for error
// messages.
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

// nameSet collects names to find invalid and duplicate ones.
type nameSet map[string]bool

// add adds the name at path. It returns an error if the name is empty, contains
// white space or slashes, or was added before.
func (n nameSet) add(d *document, path, name string) error {
	if name == "" || strings.ContainsAny(name, "/ \t\n") {
		return d.fieldError(path, "a name without spaces and slashes is required", "give it a short name")
	}
	if n[name] {
		return d.fieldError(path, fmt.Sprintf("the name %q is used twice", name), "rename one of the two")
	}
	n[name] = true
	return nil
}

func (f *Fleet) checkClasses(d *document) (nameSet, error) {
	seen := nameSet{}
	for i, c := range f.Classes {
		p := fmt.Sprintf("$.classes[%d]", i)
		if err := seen.add(d, p+".name", c.Name); err != nil {
			return nil, err
		}
		if c.FirstToken <= 0 {
			return nil, d.fieldError(p+".first_token", "a target above zero is required", "write for example 820ms")
		}
		if c.TokenGap < 0 {
			return nil, d.fieldError(p+".token_gap", "must not be negative", "write for example 47ms")
		}
	}
	return seen, nil
}

func (f *Fleet) checkModels(d *document) error {
	seen := nameSet{}
	for i, m := range f.Models {
		p := fmt.Sprintf("$.models[%d]", i)
		if err := seen.add(d, p+".name", m.Name); err != nil {
			return err
		}
		if m.MoveBy != "" {
			if _, err := time.Parse(time.RFC3339, m.MoveBy); err != nil || m.Version == "" {
				return d.fieldError(p+".move_by", "a time in RFC 3339 form is required, and a version beside it", "write for example 2026-12-04T18:00:00Z")
			}
		}
		if m.MaxContext < 0 {
			return d.fieldError(p+".max_context", "must not be negative", "write the tokens of prompt and answer, or leave it out")
		}
	}
	return nil
}

func (f *Fleet) checkServices(d *document) error {
	seen := nameSet{}
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
		return d.fieldError(p+".path", "a path starting with a slash is required", "write for example /bookings")
	}
	if len(r.Methods) == 0 {
		return d.fieldError(p+".methods", "at least one method is required", "write for example [GET, POST]")
	}
	for _, m := range r.Methods {
		switch m {
		case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		default:
			return d.fieldError(p+".methods", fmt.Sprintf("%q is not a method", m), "use GET, HEAD, POST, PUT, PATCH or DELETE")
		}
	}
	if r.Open && !r.Idempotent {
		return d.fieldError(p+".open", "a route that is open must be idempotent, since claims against double execution need a workspace", "set idempotent, or remove open so that a key is required")
	}
	return nil
}

func (f *Fleet) checkWorkspaces(d *document, classes nameSet) error {
	seen, hashes := nameSet{}, map[string]bool{}
	for i, w := range f.Workspaces {
		p := fmt.Sprintf("$.workspaces[%d]", i)
		if err := seen.add(d, p+".name", w.Name); err != nil {
			return err
		}
		if !classes[w.Class] {
			return d.fieldError(p+".class", fmt.Sprintf("no class %q", w.Class), "name a class from the list of classes")
		}
		if w.Rate <= 0 || w.Burst <= 0 {
			return d.fieldError(p+".rate", "rate and burst must be above zero", "write the rate in tokens per second and the burst in tokens")
		}
		if err := checkKeys(d, p, w.Keys, hashes); err != nil {
			return err
		}
	}
	return nil
}

func checkKeys(d *document, p string, keys []Key, hashes map[string]bool) error {
	ids := nameSet{}
	for j, k := range keys {
		kp := fmt.Sprintf("%s.keys[%d]", p, j)
		if err := ids.add(d, kp+".id", k.ID); err != nil {
			return err
		}
		if b, err := hex.DecodeString(k.SHA256); err != nil || len(b) != 32 {
			return d.fieldError(kp+".sha256", "64 hexadecimal digits are required", "run vanectl key hash and paste its output")
		}
		if hashes[k.SHA256] {
			return d.fieldError(kp+".sha256", "this key is listed twice", "give each workspace its own keys")
		}
		hashes[k.SHA256] = true
	}
	return nil
}
