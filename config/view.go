package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// View is one accepted revision of the fleet's configuration with the indexes
// that a request needs. It is immutable.
type View struct {
	Fleet    *Fleet
	Revision uint64 // version of the platform's object

	total  float64 // of all rates
	byKey  map[[sha256.Size]byte]int
	byName map[string]int
}

// NewView returns the view of a revision.
func NewView(f *Fleet, rev uint64) *View {
	v := &View{Fleet: f, Revision: rev, byKey: make(map[[sha256.Size]byte]int), byName: make(map[string]int)}
	for i, w := range f.Workspaces {
		v.byName[w.Name] = i
		v.total += w.Rate
		for _, k := range w.Keys {
			if b, err := hex.DecodeString(k.SHA256); err == nil && len(b) == sha256.Size {
				v.byKey[[sha256.Size]byte(b)] = i
			}
		}
	}
	return v
}

// HashKey returns the stored form of a key. Keys are random and long, so that a
// plain hash does not invite guessing.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// WorkspaceByKey returns the workspace whose key was presented. The lookup is by
// hash, so that its duration tells nothing about the stored keys.
func (v *View) WorkspaceByKey(key string) (Workspace, bool) {
	i, ok := v.byKey[sha256.Sum256([]byte(key))]
	if !ok {
		return Workspace{}, false
	}
	return v.Fleet.Workspaces[i], true
}

// Workspace returns the workspace of the given name.
func (v *View) Workspace(name string) (Workspace, bool) {
	i, ok := v.byName[name]
	if !ok {
		return Workspace{}, false
	}
	return v.Fleet.Workspaces[i], true
}

// RateShare returns the workspace's part of the rates of all workspaces.
func (v *View) RateShare(w Workspace) float64 {
	if v.total == 0 {
		return 0
	}
	return w.Rate / v.total
}

// FirstTokenTarget returns the first-token target of the workspace's class.
func (v *View) FirstTokenTarget(w Workspace) time.Duration {
	return time.Duration(v.Fleet.ClassOf(w).FirstToken)
}
