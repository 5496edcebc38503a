package trace

import "mustardvane.org/vane/prefix"

// MaxHitRate returns the highest prefix hit rate that any way of placing can reach on
// the trace, even with caches without bounds: every piece has to be computed once.
func MaxHitRate(reqs []Request, pieceTokens int) float64 {
	seen := make(map[uint64]bool)
	cached, total := 0, 0
	for _, r := range reqs {
		var msgs []prefix.Message
		for _, m := range r.Messages() {
			msgs = append(msgs, prefix.Message(m))
		}
		p := prefix.Cut(r.Workspace, r.Model, msgs, pieceTokens)
		total += p.Tokens
		hit := 0
		for _, l := range p.Levels {
			if seen[l.Hash] {
				hit = l.Tokens
			}
			seen[l.Hash] = true
		}
		cached += hit
	}
	if total == 0 {
		return 0
	}
	return float64(cached) / float64(total)
}
