package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	vane "mustardvane.org/vane"
)

// snapshot serves the objects to another node.
func (m *Mesh) snapshot(w http.ResponseWriter, _ *http.Request) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(m.Export()); err != nil {
		m.Log.Error("snapshot not encoded", "err", err.Error())
		http.Error(w, "no snapshot", http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b.Bytes())
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
		addr, ok := m.ahead(time.Now())
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

// ahead returns the address of a node that has known more for some time.
func (m *Mesh) ahead(now time.Time) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		late := !p.behind.IsZero() && now.Sub(p.behind) >= behindTime
		old := !p.upAhead.IsZero() && now.Sub(p.upAhead) > upstreamTime
		if m.alive(p, now) && (late || old) {
			return p.Mesh, true
		}
	}
	return "", false
}

// pull fetches the objects of another node.
func (m *Mesh) pull(ctx context.Context, addr string) ([]vane.Object, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+snapshotPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := m.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var objs []vane.Object
	err = json.NewDecoder(io.LimitReader(resp.Body, maxSnapshot)).Decode(&objs)
	return objs, err
}
