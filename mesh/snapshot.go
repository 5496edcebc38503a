package mesh

import (
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// Names in the question for a snapshot: what the asking node knows already.
const (
	argConfig    = "config"
	argUpstreams = "upstreams"
	argWeights   = "weights"
	argOwn       = "own"
)

// snapshot serves another node the objects that it does not know.
func (m *Mesh) snapshot(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	have := mirror.Versions{Config: number(q, argConfig), Upstreams: number(q, argUpstreams), Weights: number(q, argWeights), NodeState: number(q, argOwn)}
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err == nil {
		err = msgpack.NewEncoder(z).Encode(m.Export(have))
	}
	if err == nil {
		err = z.Close()
	}
	if err != nil {
		m.Log.Warn("snapshot not sent", "peer", r.RemoteAddr, "err", err.Error())
	}
}

// number returns a parameter; zero, which asks for more than is needed, if it can't be
// read.
func number(q url.Values, name string) uint64 {
	n, err := strconv.ParseUint(q.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// pullLoop fetches snapshots while another node knows more than this one.
func (m *Mesh) pullLoop(ctx context.Context) {
	tick := time.NewTicker(behindTime / 2)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-m.lag:
		case <-ctx.Done():
			return
		}
		addr, ok := m.ahead(m.now())
		if !ok {
			continue
		}
		objs, err := m.pull(ctx, addr)
		m.pulled(addr, err == nil)
		if err != nil {
			m.Log.Warn("snapshot not fetched", "peer", addr, "err", err.Error())
			continue
		}
		m.Log.Info("snapshot taken from a node", "peer", addr, "objects", len(objs))
		m.Import(objs)
	}
}

// pulled starts the times anew for which other nodes have known more: for all after a
// snapshot, and for the node that gave none, so that another one is asked.
func (m *Mesh) pulled(addr string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if ok || p.Mesh == addr {
			p.behind, p.upAhead = time.Time{}, time.Time{}
		}
	}
}

// ahead returns the address of a node that has known more for some time, one of the
// own data centre if there is one.
func (m *Mesh) ahead(now time.Time) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	patience := upstreamTime
	if !m.promptNode(now) {
		patience = upstreamSoon
	}
	var found *Peer
	for _, p := range m.peers {
		late := !p.behind.IsZero() && now.Sub(p.behind) >= behindTime
		old := !p.upAhead.IsZero() && now.Sub(p.upAhead) > patience
		if m.alive(p, now) && (late || old) && (found == nil || p.DataCentre == m.self.DataCentre) {
			found = p
		}
	}
	if found == nil {
		return "", false
	}
	return found.Mesh, true
}

// pull fetches the objects of another node that this one does not know.
func (m *Mesh) pull(ctx context.Context, addr string) ([]vane.Object, error) {
	have := m.Versions()
	q := url.Values{}
	for name, mark := range map[string]uint64{argConfig: have.Config, argUpstreams: have.Upstreams, argWeights: have.Weights, argOwn: have.NodeState} {
		q.Set(name, strconv.FormatUint(mark, 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+snapshotPath+"?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := m.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	z, err := gzip.NewReader(io.LimitReader(resp.Body, maxSnapshot))
	if err != nil {
		return nil, err
	}
	var objs []vane.Object
	err = msgpack.NewDecoder(io.LimitReader(z, maxSnapshot)).Decode(&objs)
	return objs, err
}
