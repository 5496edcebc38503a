package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// View is one accepted revision of the fleet's configuration, indexed for the
// lookups that requests need. It is immutable.
type View struct {
	Fleet    *Fleet
	Revision uint64 // version of the platform's object; 0 before the first one has arrived

	totalRate float64 // sum of the rates of all workspaces
	byKeyHash map[[sha256.Size]byte]int
	byName    map[string]int
}

// NewView returns the view of a configuration. Keys with an invalid hash are left
// out.
func NewView(f *Fleet, rev uint64) *View {
	v := &View{Fleet: f, Revision: rev, byKeyHash: make(map[[sha256.Size]byte]int), byName: make(map[string]int)}
	for i, w := range f.Workspaces {
		v.byName[w.Name] = i
		v.totalRate += w.Rate
		for _, k := range w.Keys {
			if b, err := hex.DecodeString(k.SHA256); err == nil && len(b) == sha256.Size {
				v.byKeyHash[[sha256.Size]byte(b)] = i
			}
		}
	}
	return v
}

// HashKey returns the stored form of a key: its SHA-256 hash in hexadecimal. Keys
// are long and random, so an unsalted fast hash is safe against guessing.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// WorkspaceByKey returns the workspace that the key belongs to, and false if there
// is none. The lookup is by hash, so that its duration reveals nothing about the
// stored keys.
func (v *View) WorkspaceByKey(key string) (Workspace, bool) {
	i, ok := v.byKeyHash[sha256.Sum256([]byte(key))]
	if !ok {
		return Workspace{}, false
	}
	return v.Fleet.Workspaces[i], true
}

// Workspace returns the workspace of the given name, and false if there is none.
func (v *View) Workspace(name string) (Workspace, bool) {
	i, ok := v.byName[name]
	if !ok {
		return Workspace{}, false
	}
	return v.Fleet.Workspaces[i], true
}

// RateShare returns the workspace's fraction of the sum of all rates, from 0 to 1.
// It returns 0 if there are no workspaces.
func (v *View) RateShare(w Workspace) float64 {
	if v.totalRate == 0 {
		return 0
	}
	return w.Rate / v.totalRate
}

// FirstTokenTarget returns the target of the workspace's class for the time to the
// first token.
func (v *View) FirstTokenTarget(w Workspace) time.Duration {
	return time.Duration(v.Fleet.ClassOf(w).FirstToken)
}
