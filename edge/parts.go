package edge

import (
	"slices"
	"time"

	"mustardvane.org/vane/crash"
	"mustardvane.org/vane/mesh"
)

// Limits of the pending updates about prompt parts. The oldest crashes, and further
// clearances, are dropped: the answers that clear a part go on. Crashes with more parts
// than all may have are not told.
const (
	maxPartUpdates = 128  // crashes, and clearances
	maxCrashHashes = 1024 // parts in all crashes, since callers choose how many a prompt has
)

// addPartCrash adds a crash during which requests with some parts had no answer yet.
func (n *pendingUpdates) addPartCrash(c crash.PartCrash) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(c.Parts) > maxCrashHashes {
		return
	}
	n.partCrashes = append(n.partCrashes, repeated[crash.PartCrash]{c, time.Now().Add(updateRepeatTime)})
	hashes := 0
	for i, x := range slices.Backward(n.partCrashes) {
		if hashes += len(x.value.Parts); hashes > maxCrashHashes || len(n.partCrashes)-i > maxPartUpdates {
			n.partCrashes = slices.Delete(n.partCrashes, 0, i+1)
			break
		}
	}
}

// addPartClear adds the clearance of a part.
func (n *pendingUpdates) addPartClear(part uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.partClears) < maxPartUpdates {
		n.partClears[part] = time.Now().Add(updateRepeatTime)
	}
	delete(n.convictions, part)
}

// addConviction adds a conviction by this node.
func (n *pendingUpdates) addConviction(c crash.Conviction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.convictions[c.Part] = repeated[crash.Conviction]{c, time.Now().Add(updateRepeatTime)}
	delete(n.partClears, c.Part)
}

// fillParts adds the pending updates about parts to a message and removes the expired
// ones. The caller must hold n.mu.
func (n *pendingUpdates) fillParts(now time.Time, m *mesh.Message) {
	n.partCrashes = slices.DeleteFunc(n.partCrashes, func(c repeated[crash.PartCrash]) bool { return !now.Before(c.until) })
	for _, c := range n.partCrashes {
		m.Extension.PartCrashes = append(m.Extension.PartCrashes, mesh.PartCrash{
			Upstream: c.value.Upstream, Incarnation: c.value.Incarnation, Workspace: c.value.Workspace, Parts: c.value.Parts, Late: c.value.Late, AgeMS: ageMS(now, c.value.At),
		})
	}
	for part, until := range n.partClears {
		if now.After(until) {
			delete(n.partClears, part)
			continue
		}
		m.Extension.PartClears = append(m.Extension.PartClears, part)
	}
	for part, c := range n.convictions {
		if now.After(c.until) {
			delete(n.convictions, part)
			continue
		}
		m.Extension.Convictions = append(m.Extension.Convictions, convictionMessage(now, c.value))
	}
}

// composeConvictions adds all convictions to a message, for nodes that start or lost the
// messages in which they were new. In a large site a few nodes suffice for that.
func (n *Node) composeConvictions(now time.Time, m *mesh.Message) {
	if !n.mesh.IsPromptWatcher() {
		return
	}
	m.Extension.Convictions = nil
	for _, c := range n.parts.Convictions(now) {
		m.Extension.Convictions = append(m.Extension.Convictions, convictionMessage(now, c))
	}
}

// receiveParts applies what a message tells about parts of prompts.
func (n *Node) receiveParts(now time.Time, m *mesh.Message) {
	for _, part := range m.Extension.PartClears {
		n.parts.Clear(now, part)
	}
	for _, c := range m.Extension.PartCrashes {
		n.parts.Add(now, crash.PartCrash{
			Upstream: c.Upstream, Incarnation: c.Incarnation, Workspace: c.Workspace, Parts: c.Parts, Late: c.Late, At: now.Add(-time.Duration(c.AgeMS) * time.Millisecond),
		})
	}
	for _, c := range m.Extension.Convictions {
		n.parts.Adopt(now, crash.Conviction{Part: c.Part, Workspaces: c.Workspaces, At: now.Add(-time.Duration(c.AgeMS) * time.Millisecond)})
	}
}

// convictionMessage returns a conviction as it is sent.
func convictionMessage(now time.Time, c crash.Conviction) mesh.Conviction {
	return mesh.Conviction{Part: c.Part, Workspaces: c.Workspaces, AgeMS: ageMS(now, c.At)}
}

// ageMS returns the milliseconds since at.
func ageMS(now, at time.Time) int { return int(now.Sub(at).Milliseconds()) }
