package trace

import "mustardvane.org/vane/prefix"

// MaxHitRate returns an upper bound of the prefix hit rate, from 0 to 1, that any placement
// of the requests can reach: the share of prompt tokens in prefixes that an earlier
// request of the trace has, as with one cache of unlimited size. Prefixes are compared
// in pieces of pieceTokens tokens. It is 0 for an empty trace.
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
