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

// Bounds of the calls to nodes.
const (
	callTimeout   = 15 * time.Second
	statusTimeout = 2 * time.Second
)

// Client asks the admin addresses of several nodes.
type Client struct {
	nodes []string
	http  *http.Client
}

// NewClient returns a client of the nodes with the given admin addresses.
func NewClient(nodes ...string) *Client {
	return &Client{nodes: nodes, http: &http.Client{Timeout: callTimeout}}
}

// NodeStatus is the status of one node, or why it could not be had.
type NodeStatus struct {
	Addr   string
	Status node.Status
	Err    error
}

// get reads one JSON answer of a node.
func (c *Client) get(ctx context.Context, addr, path string, q url.Values, v any) error {
	u := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return errors.Wrapf(err, "admin: bad address %s", addr)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return vane.Errorf(vane.KindUnavailable, "admin.get", "check that the node runs and the address is its admin address", "node %s does not answer", addr).WithCause(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return vane.Errorf(vane.KindUnavailable, "admin.get", "check that the address is a node's admin address", "node %s answered %d", addr, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// Status asks all nodes at once.
func (c *Client) Status(ctx context.Context) []NodeStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	out := make([]NodeStatus, len(c.nodes))
	c.each(func(i int, addr string) {
		out[i].Addr = addr
		out[i].Err = c.get(ctx, addr, "/v1/status", nil, &out[i].Status)
	})
	return out
}

// each calls f for all nodes at once and waits.
func (c *Client) each(f func(i int, addr string)) {
	var wg sync.WaitGroup
	for i, a := range c.nodes {
		wg.Go(func() { f(i, a) })
	}
	wg.Wait()
}

// query returns the query of a filter.
func query(f event.Filter, since uint64, follow bool) url.Values {
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

// Timeline returns the merged events of all nodes that the filter selects, and
// the errors of nodes that could not be asked.
func (c *Client) Timeline(ctx context.Context, f event.Filter) ([]vane.Event, []error) {
	parts := make([][]vane.Event, len(c.nodes))
	errs := make([]error, len(c.nodes))
	c.each(func(i int, addr string) {
		var p event.Page
		errs[i] = c.get(ctx, addr, "/v1/timeline", query(f, 0, false), &p)
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

// Follow calls f with new events of all nodes until ctx ends. Events of one node
// come in order.
func (c *Client) Follow(ctx context.Context, flt event.Filter, f func([]vane.Event)) {
	var mu sync.Mutex
	c.each(func(_ int, addr string) {
		since := uint64(0)
		for ctx.Err() == nil {
			var p event.Page
			if err := c.get(ctx, addr, "/v1/timeline", query(flt, since, since > 0), &p); err != nil {
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

// AwaitRevision asks the nodes until each has the revision in force or ctx ends.
// It returns the last status of each.
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
