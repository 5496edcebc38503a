package mesh

import (
	"bytes"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	vane "mustardvane.org/vane"
)

// Message is the periodic message of a node to the others. Structs are encoded by the
// position of their fields, and a node can't decode a struct with more or fewer fields
// than its own. So new content belongs in the extension.
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
	Extension       Extension           `msgpack:"-"` // follows the other fields
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

// Extension is the part of a message that older builds ignore. Its structs are encoded
// with the names of their fields, and unknown fields are ignored.
type Extension struct {
	PartCrashes []PartCrash  `msgpack:"c,omitempty"` // crashes of upstreams before they answered requests, by the parts of the prompts
	PartClears  []uint64     `msgpack:"a,omitempty"` // parts of prompts that were suspected and have been answered
	Convictions []Conviction `msgpack:"v,omitempty"` // parts of prompts with which requests are refused
}

// PartCrash tells about a crash before the answer to a request had begun.
type PartCrash struct {
	Upstream    string   `msgpack:"u"`
	Incarnation uint64   `msgpack:"i"`
	Workspace   uint64   `msgpack:"w"` // hash of the request's workspace
	Parts       []uint64 `msgpack:"p"` // hashes of the shared parts of the prompt, in order
	AgeMS       int      `msgpack:"t"`
}

// Conviction names a part of prompts with which requests are refused.
type Conviction struct {
	Part       uint64   `msgpack:"p"`
	Workspaces []uint64 `msgpack:"w"` // hashes, as in package crash
	AgeMS      int      `msgpack:"t"`
}

// encodeMessage returns the wire form of a message.
func encodeMessage(m *Message) ([]byte, error) {
	b, err := encode(m)
	if err != nil || m.Extension.isEmpty() {
		return b, err
	}
	x, err := msgpack.Marshal(&m.Extension)
	return append(b, x...), err
}

// isEmpty reports whether the extension has no content.
func (x Extension) isEmpty() bool {
	return len(x.PartCrashes)+len(x.PartClears)+len(x.Convictions) == 0
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
	d := msgpack.NewDecoder(bytes.NewReader(b))
	if err := d.Decode(&m); err != nil {
		return nil, err
	}
	if err := d.Decode(&m.Extension); err != nil && err != io.EOF {
		return nil, err
	}
	if m.Name == "" || m.Boot == 0 {
		return nil, vane.Errorf(vane.KindInvalid, "mesh.decode", "check what else sends to this port", "the message has no sender name or boot time")
	}
	return &m, nil
}
