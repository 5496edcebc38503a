package site

import (
	"slices"
	"strings"

	vane "mustardvane.org/vane"
)

// hostRoutes are the routes of one host, indexed so that the search does not depend on their
// number.
type hostRoutes struct {
	bySlash map[string]vane.Route // by path prefix, of routes whose prefix ends with a slash
	longest int                   // length of the longest of these prefixes
	others  []vane.Route          // the other routes, longest prefix first; usually none
}

// add adds a route. Of routes with equal prefixes, the first one counts.
func (h *hostRoutes) add(r vane.Route) {
	if !strings.HasSuffix(r.PathPrefix, "/") {
		i, _ := slices.BinarySearchFunc(h.others, len(r.PathPrefix), func(o vane.Route, n int) int {
			if len(o.PathPrefix) >= n {
				return -1
			}
			return 1
		})
		h.others = slices.Insert(h.others, i, r)
		return
	}
	if _, ok := h.bySlash[r.PathPrefix]; !ok {
		h.bySlash[r.PathPrefix] = r
		h.longest = max(h.longest, len(r.PathPrefix))
	}
}

// match returns the route with the longest prefix of the path, and false if there is none. It
// looks at no more of the path than the longest prefix, since callers choose the path.
func (h *hostRoutes) match(path string) (vane.Route, bool) {
	var other *vane.Route
	for i := range h.others {
		if strings.HasPrefix(path, h.others[i].PathPrefix) {
			other = &h.others[i]
			break
		}
	}
	for head := path[:min(len(path), h.longest)]; ; {
		i := strings.LastIndexByte(head, '/')
		if i < 0 || other != nil && i+1 < len(other.PathPrefix) {
			break
		}
		if r, ok := h.bySlash[head[:i+1]]; ok {
			return r, true
		}
		head = head[:i]
	}
	if other == nil {
		return vane.Route{}, false
	}
	return *other, true
}
