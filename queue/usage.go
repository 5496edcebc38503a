package queue

import (
	"math"
	"time"
)

// Shape of the memory of what workspaces used.
const (
	usageTime = 10 * time.Second // over which usage is forgotten
	usageSeen = 0.01             // part of all usage from which a workspace counts as active
	usageGone = 0.0001           // part below which it is forgotten
)

// usage is what one workspace used lately.
type usage struct {
	cost float64
	at   time.Time
}

// now returns the usage as of the given time.
func (u usage) now(now time.Time) float64 {
	return u.cost * math.Exp(-max(0, now.Sub(u.at).Seconds())/usageTime.Seconds())
}

// use adds to the usage of a workspace and returns how many equal shares it used
// lately: 1 if all active workspaces use the same, more if it uses more.
func (f *Fair) use(now time.Time, ws string, cost float64) float64 {
	f.used[ws] = usage{cost: f.used[ws].now(now) + cost, at: now}
	total := 0.0
	for _, u := range f.used {
		total += u.now(now)
	}
	if total <= 0 {
		return 1
	}
	active := 0
	for name, u := range f.used {
		switch part := u.now(now) / total; {
		case name == ws || part >= usageSeen:
			active++
		case part < usageGone:
			delete(f.used, name)
		}
	}
	return f.used[ws].now(now) * float64(active) / total
}
