package mesh

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	vane "mustardvane.org/vane"
)

// Message is the periodic message of a node to the others. Structs are encoded by the
// position of their fields, so new fields must be added at the end.
type Message struct {
	Name            string
	Boot            uint64              // identifies a start of the node; higher for later starts
	Seq             uint64              // sequence number of the message since Boot; older messages are ignored
	Ready           bool                // callers may be sent to the node
	Leaving         bool                // the node is stopping
	ConfigVersion   uint64              // newest known version of the configuration
	Fence           uint64              // fencing number of the lease on weight orders; zero if the node does not hold it
	InFlight        map[string]int      // number of requests that the node has in flight, by upstream
	QuotaSpent      map[string]float64  // units that the node has admitted since it started, by workspace
	QuotaLevels     map[string]float64  // units left in the bucket, by workspace; nil if the node just started or need not send them
	Engines         []EngineUpdate      // changes of the weights of engines
	Crashes         []CrashReport       // requests during which upstreams crashed
	Callers         string              // address on which callers are served
	StoreOK         bool                // the node reaches the store and watches it without delay
	UpstreamVersion uint64              // newest known version of any upstream
	Unresponsive    []string            // upstreams that do not answer the node
	PromptParts     map[string][]uint64 // prompt parts that were sent to engines, by engine name, in the packed form of package sched
	WeightsVersion  uint64              // newest known version of any target weights
	WeightsAges     []WeightsAge        // how long ago weights were designated; nil if the node need not send them
}

// WeightsAge tells how long ago weights were designated for a model.
type WeightsAge struct {
	Model   string
	Weights uint64 // number of the weights
	AgeMS   int64  // time since the designation in milliseconds, as far as the sender knows
	Seen    bool   // the age is measured, not taken from a record in the store
}

// EngineUpdate tells about the weights of an engine.
type EngineUpdate struct {
	Upstream  string
	Weights   uint64 // number of the weights that it serves
	LoadingMS int    // longest remaining load time in milliseconds; zero if not known, negative if the engine is not loading
}

// CrashReport identifies a request during which an upstream crashed.
type CrashReport struct {
	Workspace   string
	Fingerprint uint64
	Upstream    string
	Incarnation uint64
}

// encode returns the wire form of a message or an envelope.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	e.UseCompactFloats(true)
	err := e.Encode(v)
	return b.Bytes(), err
}

// decode decodes the result of encode.
func decode(b []byte, v any) error { return msgpack.Unmarshal(b, v) }

// decodeMessage decodes a message. It returns an error if the sender is missing.
func decodeMessage(b []byte) (*Message, error) {
	var m Message
	if err := decode(b, &m); err != nil {
		return nil, err
	}
	if m.Name == "" || m.Boot == 0 {
		return nil, vane.Errorf(vane.KindInvalid, "mesh.decode", "check what else sends to this port", "the message has no sender name or boot time")
	}
	return &m, nil
}
