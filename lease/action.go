package lease

import (
	"encoding/json"
	"time"

	vane "mustardvane.org/vane"
)

// ActionKind is the kind of call that a machine requests.
type ActionKind int

// Kinds of actions.
const (
	ActNone ActionKind = iota
	ActRead
	ActWrite
)

// Action is a call to the platform. A machine has at most one action open at a time.
type Action struct {
	Kind  ActionKind
	Want  uint64    // version that a write replaces; zero creates the object
	Value []byte    // value of a write
	Sent  time.Time // when the machine requested it
}

// Result is the platform's answer to an action.
type Result struct {
	Object vane.Object // of a read; its version is zero if there is no object
	Err    error
}

// Purpose is the reason for writing a lease object.
type Purpose int

// Purposes of writes.
const (
	Acquire Purpose = iota // acquire the lease; the data of the previous record must remain valid
	Renew                  // renew the lease
	Release                // release the lease; the holder does nothing more under it
)

// DataFunc returns the recovery data for a write. before is the data that was read
// last.
type DataFunc func(p Purpose, before json.RawMessage) json.RawMessage

// Record is the value of a lease object.
type Record struct {
	Holder   string          `json:"holder"`
	Nonce    string          `json:"nonce"`
	Released bool            `json:"released,omitempty"`
	Restores uint64          `json:"restores,omitempty"` // how often the platform had come back from a copy, see [vane.RestoresOf]
	Data     json.RawMessage `json:"data,omitempty"`     // recovery data of the holder
}
