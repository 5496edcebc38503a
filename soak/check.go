package soak

import (
	"fmt"
	"net/http"

	"mustardvane.org/vane/platform/stand"
)

// Violation is a broken promise.
type Violation struct {
	Check   string
	Request string
	Detail  string
}

// String returns the violation in one line.
func (v Violation) String() string { return v.Check + ": " + v.Request + ": " + v.Detail }

// check compares what callers saw with what upstreams ran.
func check(results []result, runs []stand.Run) []Violation {
	var out []Violation
	add := func(check, id, format string, args ...any) {
		out = append(out, Violation{Check: check, Request: id, Detail: fmt.Sprintf(format, args...)})
	}
	byID := make(map[string][]stand.Run, len(results))
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
		if r.KeyForwarded {
			add("key", r.ID, "upstream %s saw the caller's key", r.Server)
		}
	}
	for _, r := range results {
		ran := byID[r.id]
		for _, x := range ran {
			if x.Tenant != r.tenant {
				add("workspace", r.id, "ran for %q instead of %q", x.Tenant, r.tenant)
			}
			if x.Path != paths[r.kind] {
				add("target", r.id, "ran as %s", x.Path)
			}
		}
		if r.kind == unsafe && len(ran) > 1 {
			add("once", r.id, "ran %d times", len(ran))
		}
		if notRun(r.status) && r.kind == unsafe && len(ran) > 0 {
			add("not run", r.id, "answered %d and ran at %s", r.status, ran[0].Server)
		}
		if r.status == http.StatusOK && r.err == nil && r.body != wanted(r) {
			add("whole", r.id, "got %q", r.body)
		}
		if r.status == http.StatusUnauthorized || r.status == http.StatusNotFound {
			add("denied", r.id, "answered %d, though key and route were in force all the while", r.status)
		}
	}
	return out
}

// notRun says whether a status promises that the request has not run.
func notRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// wanted returns the whole answer to a request.
func wanted(r result) string {
	if r.kind == stream {
		return stand.Stream(r.id)
	}
	return stand.ResponseBody(r.id)
}
