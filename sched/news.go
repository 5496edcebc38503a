package sched

// read notes that an engine will hold the parts of a prompt, and keeps that as
// news for the other nodes.
func (p *Placer) read(u *upstream, q Query, c Pick) {
	for i, k := range partKeys(c.Salt, q.Parts) {
		n := q.Parts[i].Tokens
		u.parts.add(k, n)
		if len(p.news[u.Name]) < maxNews {
			p.news[u.Name] = append(p.news[u.Name], packPart(k, n))
		}
	}
}

// TakeCacheUpdates returns what was read since the last call, by engine, in a form for
// [Placer.ApplyCacheUpdates].
func (p *Placer) TakeCacheUpdates() map[string][]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.news
	p.news = make(map[string][]uint64)
	return out
}

// ApplyCacheUpdates takes another node's news of what engines read.
func (p *Placer) ApplyCacheUpdates(news map[string][]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, parts := range news {
		if u, ok := p.ups[name]; ok {
			for _, v := range parts {
				u.parts.add(unpackPart(v))
			}
		}
	}
}
