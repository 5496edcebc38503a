package mesh

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	vane "mustardvane.org/vane"
)

// Message is the periodic message of a node to the others. Its own fields are encoded by
// position. Decoders refuse a message with more or fewer of them, so new fields must be
// added to [Extension].
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

	Extension `msgpack:"-"`
}

// Extension is the part of a message that follows its fields. It is encoded by the names
// of the fields, so that nodes of different builds understand each other: those before it
// was introduced do not read it.
type Extension struct {
	WeightsAges    []WeightsAge    `msgpack:"weights_ages,omitempty"`    // how long ago weights were designated; nil if the node need not send them
	RolloutVersion uint64          `msgpack:"rollout_version,omitempty"` // newest known version of any roll-out
	Rollouts       []RolloutUpdate `msgpack:"rollouts,omitempty"`        // roll-outs in progress
	ReleaseResults []ReleaseResult `msgpack:"release_results,omitempty"` // results of requests to services with a roll-out in progress
	PartCrashes    []PartCrash     `msgpack:"part_crashes,omitempty"`    // crashes of upstreams before they answered requests, by the parts of the prompts
	PartClears     []uint64        `msgpack:"part_clears,omitempty"`     // parts of prompts that were suspected and have been answered
	Convictions    []Conviction    `msgpack:"convictions,omitempty"`     // parts of prompts with which requests are refused
	StoreFailing   bool            `msgpack:"store_failing,omitempty"`   // the store does not answer the node
	Leaving        []UpstreamStart `msgpack:"leaving,omitempty"`         // upstreams that said that they are leaving
	Prefill        map[string]int  `msgpack:"prefill,omitempty"`         // uncached prompt tokens of the node's requests without a first token, in units of 1,024, by engine; engines with none are left out
	Rates          []ServiceRates  `msgpack:"rates,omitempty"`           // learned rates; nil in most messages
	Evacuations    uint64          `msgpack:"evacuations,omitempty"`     // newest known version of any evacuation
	NodesVersion   uint64          `msgpack:"nodes_version,omitempty"`   // version of the list of nodes by which the node decides which cold upstreams it owns; zero if there are none
	WallMS         int64           `msgpack:"wall_ms,omitempty"`         // wall time of the sender in Unix milliseconds; zero if the build does not tell it
	Cold           []ColdReport    `msgpack:"cold,omitempty"`            // upstreams that are cold, or were found warm after a failure
	Work           []ServiceWork   `msgpack:"work,omitempty"`            // work of the services with requests at the node; nil from nodes that do not report it
}

// ServiceWork tells about the work of a node for a service, in milliseconds of one upstream.
type ServiceWork struct {
	Service     string  `msgpack:"s"`
	Outstanding int64   `msgpack:"o,omitempty"` // work of sent requests that have not been answered
	Waiting     int64   `msgpack:"w,omitempty"` // work of requests that wait at the node
	Demand      float32 `msgpack:"d,omitempty"` // arriving work for each millisecond
}

// ServiceRates are the rates of the upstreams of a service that the sender has learned from
// its own requests, as in package rates.
type ServiceRates struct {
	Service      string  `msgpack:"service"`
	PrefillPerMS float64 `msgpack:"prefill_per_ms"`
	BaseMS       float64 `msgpack:"base_ms"`
	RunningMS    float64 `msgpack:"running_ms"`
	WaitingMS    float64 `msgpack:"waiting_ms"`
	WorkMS       float64 `msgpack:"work_ms"`
	Samples      int     `msgpack:"samples"`
}

// UpstreamStart identifies one start of an upstream.
type UpstreamStart struct {
	Upstream    string `msgpack:"upstream"`
	Incarnation uint64 `msgpack:"incarnation"`
}

// ColdReport tells how much longer an upstream stays cold.
type ColdReport struct {
	Upstream string `msgpack:"upstream"`
	LeftMS   int64  `msgpack:"left_ms"` // remaining cold time in milliseconds; zero if the upstream is warm
	AgeMS    int64  `msgpack:"age_ms"`  // time since the sender found this, in milliseconds
}

// WeightsAge tells how long ago weights were designated for a model.
type WeightsAge struct {
	Model   string `msgpack:"model"`
	Weights uint64 `msgpack:"weights"` // number of the weights
	AgeMS   int64  `msgpack:"age_ms"`  // time since the designation in milliseconds, as far as the sender knows
	Seen    bool   `msgpack:"seen"`    // the age is measured, not taken from a record in the store
}

// RolloutUpdate tells how far a roll-out is.
type RolloutUpdate struct {
	Service string `msgpack:"service"`
	Order   string `msgpack:"order"`           // identifies the request for the roll-out
	Stage   int    `msgpack:"stage"`           // value of canary.Stage
	Fence   uint64 `msgpack:"fence,omitempty"` // fencing number of the lease of the node that decided on the stage; zero if it holds none
}

// ReleaseResult is the result of one request to a service with a roll-out in progress.
type ReleaseResult struct {
	Service  string `msgpack:"service"`
	Release  string `msgpack:"release"`
	Route    string `msgpack:"route"`
	Failed   bool   `msgpack:"failed,omitempty"`
	Waited   bool   `msgpack:"waited,omitempty"`   // no answer at the time limit; FirstUS is the time until then
	FirstUS  uint32 `msgpack:"first_us,omitempty"` // time to the first token in microseconds; zero if there was none
	Uncached uint32 `msgpack:"uncached,omitempty"` // prompt tokens that were not in the cache
	GapUS    uint32 `msgpack:"gap_us,omitempty"`   // mean time between tokens in microseconds; zero if unknown
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

// PartCrash tells about a crash before the answer to a request had begun, or after that if
// Late is set.
type PartCrash struct {
	Upstream    string   `msgpack:"upstream"`
	Incarnation uint64   `msgpack:"incarnation"`
	Workspace   uint64   `msgpack:"workspace"` // hash of the request's workspace
	Parts       []uint64 `msgpack:"parts"`     // hashes of the shared parts of the prompt, in order, or late keys
	Late        bool     `msgpack:"late,omitempty"`
	AgeMS       int      `msgpack:"age_ms"`
}

// Conviction names a part of prompts with which requests are refused.
type Conviction struct {
	Part       uint64   `msgpack:"part"`
	Workspaces []uint64 `msgpack:"workspaces"` // hashes, as in package crash
	AgeMS      int      `msgpack:"age_ms"`
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

// encodeMessage returns the wire form of a message.
func encodeMessage(m *Message) ([]byte, error) {
	b, err := encode(m)
	if err != nil {
		return nil, err
	}
	ext, err := msgpack.Marshal(&m.Extension)
	return append(b, ext...), err
}

// head identifies a message.
type head struct {
	name      string
	boot, seq uint64
}

// decodeHead decodes the first fields of a message.
func decodeHead(b []byte) (head, error) {
	var h head
	d := msgpack.NewDecoder(bytes.NewReader(b))
	_, err := d.DecodeArrayLen()
	if err == nil {
		h.name, err = d.DecodeString()
	}
	if err == nil {
		h.boot, err = d.DecodeUint64()
	}
	if err == nil {
		h.seq, err = d.DecodeUint64()
	}
	return h, err
}

// decodeMessage decodes the result of encodeMessage, with or without an extension. It
// returns an error if the sender is missing.
func decodeMessage(b []byte) (*Message, error) {
	var m Message
	r := bytes.NewReader(b)
	d := msgpack.NewDecoder(r)
	if err := d.Decode(&m); err != nil {
		return nil, err
	}
	// A decoder also returns io.EOF at the end of part of a value.
	if r.Len() > 0 {
		if err := d.Decode(&m.Extension); err != nil {
			return nil, err
		}
	}
	if m.Name == "" || m.Boot == 0 {
		return nil, vane.Errorf(vane.KindInvalid, "mesh.decode", "check what else sends to this port", "the message has no sender name or boot time")
	}
	return &m, nil
}
