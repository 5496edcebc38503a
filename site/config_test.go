package site_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/site"
)

func TestMatch(t *testing.T) {
	cfg := site.New(3, site.WithRoutes(
		vane.Route{Name: "root", Host: "a.example", PathPrefix: "/"},
		vane.Route{Name: "deep", Host: "A.example", PathPrefix: "/x/y/"},
		vane.Route{Name: "mid", Host: "a.example", PathPrefix: "/x/"},
	))
	for _, tt := range []struct {
		host, path, want string
	}{
		{"a.example", "/x/y/z", "deep"},
		{"A.EXAMPLE:8080", "/x/z", "mid"},
		{"a.example", "/xy", "root"},
		{"a.example", "/x/../y/", "mid"}, // paths are matched without cleaning
		{"b.example", "/x/", ""},
	} {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			is := is.New(t)
			r, ok := cfg.Match(tt.host, tt.path)
			is.Equal(ok, tt.want != "")
			is.Equal(r.Name, tt.want)
		})
	}
}

func TestByKey(t *testing.T) {
	is := is.New(t)
	cfg := site.New(1, site.WithWorkspaces(vane.WorkspaceConfig{Workspace: "ws", Keys: []string{"k1", ""}}))
	w, ok := cfg.WorkspaceByKey("k1")
	is.True(ok)
	is.Equal(w.Workspace, "ws")
	_, ok = cfg.WorkspaceByKey("")
	is.True(!ok) // an empty key matches no workspace
	is.True(cfg.RequiresKeys())
}

func Example() {
	cfg := site.New(7, site.WithRoutes(vane.Route{Name: "orders", Host: "shop.example", PathPrefix: "/orders/"}))
	r, ok := cfg.Match("shop.example", "/orders/12")
	fmt.Println(r.Name, ok)
	// Output: orders true
}
