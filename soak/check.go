package soak

import (
	"fmt"
	"net/http"
	"strings"

	"mustardvane.org/vane/platform/stand"
)

// Violation is a failed check.
type Violation struct {
	Check   string // name of the check
	Request string // id of the request, or what else was checked, such as a node
	Detail  string
}

// String returns the violation as one line of text.
func (v Violation) String() string { return v.Check + ": " + v.Request + ": " + v.Detail }

// checkResults compares the responses that callers received with the requests that
// upstreams ran.
func checkResults(results []result, runs []stand.Run) []Violation {
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
			if x.Tenant != r.workspace {
				add("workspace", r.id, "ran for %q instead of %q", x.Tenant, r.workspace)
			}
			if x.Path != kindPaths[r.kind] {
				add("target", r.id, "ran at path %s", x.Path)
			}
		}
		if r.kind == unsafe && len(ran) > 1 {
			add("once", r.id, "ran %d times", len(ran))
		}
		if promisesNotRun(r.status) && r.kind == unsafe && len(ran) > 0 {
			add("not run", r.id, "status %d promises that it did not run, but it ran at %s", r.status, ran[0].Server)
		}
		if r.status == http.StatusOK && r.err == nil && !looksAsItIs(r) {
			add("whole", r.id, "got %q", r.body)
		}
		if r.status == http.StatusUnauthorized || r.status == http.StatusNotFound {
			add("denied", r.id, "status %d, although its key and its route were in force during the whole soak", r.status)
		}
	}
	return out
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// looksAsItIs reports whether a body that was read without an error is complete, or may
// end where it does. A response that does not state its end may be incomplete if its
// upstream's was, but a stream must not end inside an event.
func looksAsItIs(r result) bool {
	want, got := stand.ResponseBody(r.id), r.body
	if r.kind == stream {
		want, got = stand.Stream(r.id), withoutComments(r.body)
	}
	if r.stated || got == want {
		return got == want
	}
	return strings.HasPrefix(want, got) && (r.kind != stream || strings.HasSuffix(got, "\n\n"))
}

// withoutComments returns the events of a stream without comments, and without empty lines
// that end no event, both of which callers ignore.
func withoutComments(body string) string {
	var b strings.Builder
	inEvent := false
	for line := range strings.Lines(body) {
		switch {
		case strings.HasPrefix(line, ":"):
			continue
		case line != "\n":
			inEvent = true
		case inEvent:
			inEvent = false
		default:
			continue
		}
		b.WriteString(line)
	}
	return b.String()
}
