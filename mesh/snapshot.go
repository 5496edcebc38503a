package mesh

import (
	"compress/gzip"
	"context"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/mirror"
)

// Query parameters of a snapshot request: the newest versions that the requesting node
// knows.
const (
	paramConfig    = "config"
	paramUpstreams = "upstreams"
	paramWeights   = "weights"
	paramNodeState = "own"
	paramRollouts  = "rollouts"

	paramEvacuations = "evacuations"
)

// serveSnapshot sends another node the objects that it lacks.
func (m *Mesh) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	have := mirror.Versions{Config: versionParam(q, paramConfig), Upstreams: versionParam(q, paramUpstreams), Weights: versionParam(q, paramWeights), NodeState: versionParam(q, paramNodeState), Rollouts: versionParam(q, paramRollouts)}
	if !q.Has(paramRollouts) {
		have.Rollouts = math.MaxUint64 // a node of an earlier build would count them as configuration
	}
	have.Evacuations = math.MaxUint64
	if q.Has(paramEvacuations) { // else the node does not follow them
		have.Evacuations = versionParam(q, paramEvacuations)
	}
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

// versionParam returns a version parameter, or zero if it is malformed. Zero requests
// more objects than needed, which does no harm.
func versionParam(q url.Values, name string) uint64 {
	n, err := strconv.ParseUint(q.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// snapshotLoop fetches snapshots while a peer knows more than this node.
func (m *Mesh) snapshotLoop(ctx context.Context) {
	tick := time.NewTicker(aheadDelay / 2)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-m.fetchNow:
		case <-ctx.Done():
			return
		}
		addr, ok := m.peerAhead(m.now())
		if !ok {
			continue
		}
		objs, err := m.fetchSnapshot(ctx, addr)
		m.resetAhead(addr, err == nil)
		if err != nil {
			m.Log.Warn("snapshot not fetched", "peer", addr, "err", err.Error())
			continue
		}
		m.Log.Info("snapshot taken from a node", "peer", addr, "objects", len(objs))
		m.Import(objs)
	}
}

// resetAhead clears the times since which peers have been ahead: of all peers if a
// snapshot was fetched (ok), else only of the peer with the address, so that another
// peer is asked next.
func (m *Mesh) resetAhead(addr string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if ok || p.Mesh == addr {
			p.aheadSince, p.upstreamsAheadSince = time.Time{}, time.Time{}
		}
	}
}

// peerAhead returns the address of a peer that has been ahead of this node for at least
// the delay that applies, preferably one in this data centre. It returns false if there
// is none.
func (m *Mesh) peerAhead(now time.Time) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	upstreamDelay := upstreamAheadDelay
	if !m.promptWatcherLocked(now) {
		upstreamDelay = delayedUpstreamAheadDelay
	}
	var found *Peer
	for _, p := range m.peers {
		anyAhead := !p.aheadSince.IsZero() && now.Sub(p.aheadSince) >= aheadDelay
		upstreamsAhead := !p.upstreamsAheadSince.IsZero() && now.Sub(p.upstreamsAheadSince) > upstreamDelay
		if m.alive(p, now) && (anyAhead || upstreamsAhead) && (found == nil || p.DataCentre == m.self.DataCentre) {
			found = p
		}
	}
	if found == nil {
		return "", false
	}
	return found.Mesh, true
}

// fetchSnapshot fetches the objects that another node knows and this one lacks.
func (m *Mesh) fetchSnapshot(ctx context.Context, addr string) ([]vane.Object, error) {
	have := m.Versions()
	q := url.Values{}
	for name, version := range map[string]uint64{paramConfig: have.Config, paramUpstreams: have.Upstreams, paramWeights: have.Weights, paramNodeState: have.NodeState, paramRollouts: have.Rollouts} {
		q.Set(name, strconv.FormatUint(version, 10))
	}
	if m.Evacuations {
		q.Set(paramEvacuations, strconv.FormatUint(have.Evacuations, 10))
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
	r := io.LimitReader(z, maxSnapshot)
	if err := msgpack.NewDecoder(r).Decode(&objs); err != nil {
		return nil, err
	}
	// The checksum is verified at the end.
	if n, err := io.Copy(io.Discard, r); n > 0 || err != nil {
		return nil, vane.Errorf(vane.KindUnavailable, "mesh.snapshot", "another node is asked", "the snapshot has no proper end").WithCause(err)
	}
	return objs, nil
}
