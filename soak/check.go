package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"mustardvane.org/vane/platform/stand"
)

// configPollInterval is the time between two requests that ask for the last configuration.
const configPollInterval = 50 * time.Millisecond

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
			if x.BodyWrong {
				add("body", r.id, "upstream %s read another body than its caller sent", x.Server)
			}
		}
		if r.kind == unsafe && len(ran) > 1 {
			add("once", r.id, "ran %d times", len(ran))
		}
		if promisesNotRun(r.status) && r.kind == unsafe && len(ran) > 0 {
			add("not run", r.id, "status %d promises that it did not run, but it ran at %s", r.status, ran[0].Server)
		}
		if r.status == http.StatusOK && r.err == nil && !endsAsStated(r, ran) {
			add("whole", r.id, "got %s", quoteEnds(r.body))
		}
		if r.status == http.StatusUnauthorized || r.status == http.StatusNotFound {
			add("denied", r.id, "status %d, although its key and its route were in force during the whole soak", r.status)
		}
	}
	return out
}

// checkConfig checks that the last configuration comes into force on all nodes.
func (b *testbed) checkConfig(ctx context.Context) {
	b.mu.Lock()
	version := b.configVersion
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, configLimit)
	defer cancel()
	for _, n := range b.nodes {
		for !n.servesVersion(ctx, version) {
			if ctx.Err() != nil {
				b.addViolation("configuration", n.name, "version %d is not in force %s after the last fault", version, configLimit)
				break
			}
			sleep(ctx, configPollInterval)
		}
	}
}

// servesVersion reports whether a node has the route that only the configuration of the
// version has.
func (n *node) servesVersion(ctx context.Context, version int) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers()+stand.RoutePath(version)+"x", nil)
	if err != nil {
		return false
	}
	req.Host = stand.Host
	for name, v := range stand.CallerHeaders(fmt.Sprintf("config-%d", version), stand.KeyA, deadlineMS) {
		req.Header.Set(name, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode != http.StatusNotFound && resp.StatusCode != http.StatusServiceUnavailable
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// endsAsStated reports whether a body that was read without an error is complete, or may
// end where it does. A response that does not state its end may be incomplete if an upstream
// ended its own in order before it was, but a stream must not end inside an event.
func endsAsStated(r result, ran []stand.Run) bool {
	want, got := stand.ResponseBody(r.id), r.body
	if r.kind == stream {
		want, got = stand.Stream(r.id), withoutComments(r.body)
	}
	if r.stated || got == want {
		return got == want
	}
	if !slices.ContainsFunc(ran, func(x stand.Run) bool { return x.EndedShort }) {
		return false
	}
	return strings.HasPrefix(want, got) && (r.kind != stream || strings.HasSuffix(got, "\n\n"))
}

// quotedEnd is how much of each end of a long body is shown.
const quotedEnd = 40

// quoteEnds returns a body as a quoted string, of a long one both ends.
func quoteEnds(body string) string {
	if len(body) <= 2*quotedEnd {
		return strconv.Quote(body)
	}
	return strconv.Quote(body[:quotedEnd]) + " … " + strconv.Quote(body[len(body)-quotedEnd:])
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
