package mesh

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	vane "mustardvane.org/vane"
)

// Message is what a node tells the others. Structs are encoded by the position of
// their fields, so that new ones go to the end.
type Message struct {
	Name            string
	Boot            uint64
	Seq             uint64 // of the node's messages; older ones are ignored
	Ready           bool   // callers may be sent to the node
	Leaving         bool   // the node stops
	ConfigVersion   uint64 // newest version known of the configuration
	Fence           uint64 // of the lease on orders, if the node holds it; else zero
	InFlight        map[string]int
	Spent           map[string]float64
	Levels          map[string]float64 // nil unless the node has been running for a while
	Engines         []EngineNote
	Crashes         []CrashNote
	Callers         string              // address for callers
	StoreOK         bool                // the node reaches the store
	UpstreamVersion uint64              // newest version known of any upstream
	Aside           []string            // upstreams that do not answer the node
	Reads           map[string][]uint64 // prompt parts that engines were sent, in packed form
	WeightsVersion  uint64              // newest version known of any named weights
}

// EngineNote tells about the weights of an engine.
type EngineNote struct {
	Upstream  string
	Weights   uint64 // that it serves
	LoadingMS int    // how much longer it loads at most; zero if that is not known, negative if it does not
}

// CrashNote tells of a request during which an upstream crashed.
type CrashNote struct {
	Workspace   string
	Fingerprint uint64
	Upstream    string
	Incarnation uint64
}

// encode returns the form of a message or an envelope on the wire.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	e.UseCompactFloats(true)
	err := e.Encode(v)
	return b.Bytes(), err
}

// decode reads what encode wrote.
func decode(b []byte, v any) error { return msgpack.Unmarshal(b, v) }

// decodeMessage reads a message.
func decodeMessage(b []byte) (*Message, error) {
	var m Message
	if err := decode(b, &m); err != nil {
		return nil, err
	}
	if m.Name == "" || m.Boot == 0 {
		return nil, vane.Errorf(vane.KindInvalid, "mesh.decode", "check what sends to this port", "a message without a sender")
	}
	return &m, nil
}
