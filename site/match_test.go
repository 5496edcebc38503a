package site_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/site"
)

// longestPrefix is the search that the index replaces: the first route with the longest prefix.
func longestPrefix(routes []vane.Route, path string) string {
	name, length := "", -1
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) && len(r.PathPrefix) > length {
			name, length = r.Name, len(r.PathPrefix)
		}
	}
	return name
}

// Guards against an index that finds another route than a search through all routes.
func TestMatchFindsTheLongestPrefix(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	random := func() string {
		var b strings.Builder
		for range rng.IntN(7) {
			b.WriteByte("/ab"[rng.IntN(3)])
		}
		return b.String()
	}
	for range 300 {
		var routes []vane.Route
		for i := range rng.IntN(8) {
			prefix := "/" + random()
			if rng.IntN(4) > 0 {
				prefix += "/"
			}
			routes = append(routes, vane.Route{Name: fmt.Sprint(i), Host: "h", PathPrefix: prefix})
		}
		cfg := site.New(1, site.WithRoutes(routes...))
		for range 50 {
			path := random()
			r, ok := cfg.Match("h", path)
			is.Equal(r.Name, longestPrefix(routes, path))
			is.Equal(ok, r.Name != "")
		}
	}
}
