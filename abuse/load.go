package abuse

//go:generate stringer -type=Load -linecomment -output=load_string.go

// Load is a kind of misbehaviour.
type Load int

// The loads.
const (
	WholeBodies    Load = iota // whole_bodies
	PartBodies                 // part_bodies
	LargeChunks                // large_chunks
	SmallChunks                // small_chunks
	DeclaredOver               // declared_over
	SentOver                   // sent_over
	EndlessHeaders             // endless_headers
	UnreadPlain                // unread_plain
	UnreadStreams              // unread_streams
	loadCount
)

// Loads returns all loads.
func Loads() []Load {
	out := make([]Load, loadCount)
	for i := range out {
		out[i] = Load(i)
	}
	return out
}
