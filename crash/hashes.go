package crash

import "strconv"

// Hashes returns hashes of parts as they are logged.
func Hashes(parts []uint64) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = strconv.FormatUint(p, 16)
	}
	return out
}
