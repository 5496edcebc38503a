package sched

// recordParts records that the engine u holds the parts of the prompt from now on, and
// queues them for the other nodes. The caller must hold p.mu.
func (p *Placer) recordParts(u *upstream, q Query, c Pick) {
	for i, k := range partKeys(c.Salt, q.Parts) {
		n := q.Parts[i].Tokens
		u.parts.add(k, n)
		if len(p.updates[u.Name]) < maxUpdateParts {
			p.updates[u.Name] = append(p.updates[u.Name], packPart(k, n))
		}
	}
}

// TakeCacheUpdates returns the parts that this node sent to engines since the last call,
// by engine name. The values are in the packed form that [Placer.ApplyCacheUpdates]
// reads. At most maxUpdateParts parts are returned for each engine.
func (p *Placer) TakeCacheUpdates() map[string][]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.updates
	p.updates = make(map[string][]uint64)
	return out
}

// ApplyCacheUpdates records the parts that another node sent to engines, as returned by
// [Placer.TakeCacheUpdates] there. Unknown engines are ignored.
func (p *Placer) ApplyCacheUpdates(updates map[string][]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, parts := range updates {
		if u, ok := p.upstreams[name]; ok {
			for _, v := range parts {
				u.parts.add(unpackPart(v))
			}
		}
	}
}
