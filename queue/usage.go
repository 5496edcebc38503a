package queue

import (
	"math"
	"time"
)

// Parameters of the usage statistics.
const (
	usageDecayTime    = 10 * time.Second // time constant of the exponential decay
	minActiveFraction = 0.01             // fraction of all usage from which a workspace counts as active
	forgetFraction    = 0.0001           // fraction of all usage below which a workspace is forgotten
)

// usage is the recent usage of one workspace.
type usage struct {
	cost      float64 // in tokens, as of updatedAt
	updatedAt time.Time
}

// decayed returns the usage as of the given time, in tokens.
func (u usage) decayed(now time.Time) float64 {
	return u.cost * math.Exp(-max(0, now.Sub(u.updatedAt).Seconds())/usageDecayTime.Seconds())
}

// recordUsage adds to the usage of a workspace and returns the ratio of its recent
// usage to an equal share of all usage: 1 if all active workspaces use the same, more if
// this one uses more.
func (s *Scheduler) recordUsage(now time.Time, ws string, cost float64) float64 {
	s.usage[ws] = usage{cost: s.usage[ws].decayed(now) + cost, updatedAt: now}
	total := 0.0
	for _, u := range s.usage {
		total += u.decayed(now)
	}
	if total <= 0 {
		return 1
	}
	active := 0
	for name, u := range s.usage {
		switch part := u.decayed(now) / total; {
		case name == ws || part >= minActiveFraction:
			active++
		case part < forgetFraction:
			delete(s.usage, name)
		}
	}
	return s.usage[ws].decayed(now) * float64(active) / total
}
