package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/event"
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/node"
)

// Timeouts of calls to nodes.
const (
	callTimeout   = 15 * time.Second // longer than the 10 s that a node waits for new events
	statusTimeout = 2 * time.Second
)

// Client queries several nodes through their admin addresses. It is safe for concurrent
// use.
type Client struct {
	nodes []string
	http  *http.Client
}

// NewClient returns a client of the nodes with the given admin addresses.
func NewClient(nodes ...string) *Client {
	return &Client{nodes: nodes, http: &http.Client{Timeout: callTimeout}}
}

// NodeStatus is the status of one node, or the error of the query.
type NodeStatus struct {
	Addr   string      // admin address
	Status node.Status // valid if Err is nil
	Err    error
}

// getJSON sends a GET request to the node at addr and decodes the JSON response into v.
// The error is of KindUnavailable if the node does not respond with status 200.
func (c *Client) getJSON(ctx context.Context, addr, path string, q url.Values, v any) error {
	u := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return errors.Wrapf(err, "admin: bad address %s", addr)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return vane.Errorf(vane.KindUnavailable, "admin.get", "check that the node runs and the address is its admin address", "node %s does not respond", addr).WithCause(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return vane.Errorf(vane.KindUnavailable, "admin.get", "check that the address is a node's admin address", "node %s responded with status %d", addr, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// Status returns the status of each node, in the order given to NewClient. It queries all
// nodes concurrently for 2 s at most.
func (c *Client) Status(ctx context.Context) []NodeStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	out := make([]NodeStatus, len(c.nodes))
	c.forEachNode(func(i int, addr string) {
		out[i].Addr = addr
		out[i].Err = c.getJSON(ctx, addr, "/v1/status", nil, &out[i].Status)
	})
	return out
}

// forEachNode calls f for all nodes concurrently and waits for all calls to return.
func (c *Client) forEachNode(f func(i int, addr string)) {
	var wg sync.WaitGroup
	for i, a := range c.nodes {
		wg.Go(func() { f(i, a) })
	}
	wg.Wait()
}

// timelineQuery returns the URL query for the events that f selects, from the sequence
// number since on. If follow is set, the node waits for new events before it responds.
func timelineQuery(f event.Filter, since uint64, follow bool) url.Values {
	q := url.Values{"since": {strconv.FormatUint(since, 10)}}
	for k, v := range map[string]string{"workspace": f.Workspace, "request": f.RequestID, "subject": f.Subject, "what": f.Kind} {
		if v != "" {
			q.Set(k, v)
		}
	}
	if follow {
		q.Set("follow", "1")
	}
	return q
}

// Timeline returns the events of all nodes that the filter selects, merged into one
// order, and the errors of nodes that could not be queried.
func (c *Client) Timeline(ctx context.Context, f event.Filter) ([]vane.Event, []error) {
	parts := make([][]vane.Event, len(c.nodes))
	errs := make([]error, len(c.nodes))
	c.forEachNode(func(i int, addr string) {
		var p event.Page
		errs[i] = c.getJSON(ctx, addr, "/v1/timeline", timelineQuery(f, 0, false), &p)
		parts[i] = p.Events
	})
	var failed []error
	for _, err := range errs {
		if err != nil {
			failed = append(failed, err)
		}
	}
	return event.Merge(parts...), failed
}

// Follow calls f with the stored events that the filter selects, then with new ones as
// they are recorded, until ctx ends. Each call of f has events of one node, possibly none;
// those of each node come in order. Calls are not concurrent. A node that does not
// respond is queried again after a second.
func (c *Client) Follow(ctx context.Context, flt event.Filter, f func([]vane.Event)) {
	var mu sync.Mutex
	c.forEachNode(func(_ int, addr string) {
		since := uint64(0)
		for ctx.Err() == nil {
			var p event.Page
			if err := c.getJSON(ctx, addr, "/v1/timeline", timelineQuery(flt, since, since > 0), &p); err != nil {
				clock.Sleep(ctx, time.Second)
				continue
			}
			since = p.Next
			mu.Lock()
			f(p.Events)
			mu.Unlock()
		}
	})
}

// AwaitRevision polls the nodes until each has at least revision rev in force, or ctx
// ends. It returns the last status of each node, and whether all have the revision.
func (c *Client) AwaitRevision(ctx context.Context, rev uint64) ([]NodeStatus, bool) {
	for {
		sts := c.Status(ctx)
		all := true
		for _, s := range sts {
			all = all && s.Err == nil && s.Status.Revision >= rev
		}
		if all || !clock.Sleep(ctx, 100*time.Millisecond) {
			return sts, all
		}
	}
}
