package edge

import (
	"mustardvane.org/vane/internal/clock"
	"mustardvane.org/vane/mesh"
	"mustardvane.org/vane/rates"
)

// composeRates adds what this node has learned about upstreams to some of the messages, and
// logs rates that have moved.
func (n *Node) composeRates(m *mesh.Message) {
	for service, l := range n.placer.TakeRates(clock.BootTime()) {
		m.Rates = append(m.Rates, mesh.ServiceRates{
			Service: service, PrefillPerMS: l.PrefillPerMS, BaseMS: l.BaseMS, RunningMS: l.RunningMS,
			WaitingMS: l.WaitingMS, WorkMS: l.WorkMS, Samples: l.Samples,
		})
	}
	for _, c := range n.placer.TakeRateChanges() {
		n.log.Info("rates changed", "service", c.Service, "prefill_per_ms", c.After.PrefillPerMS, "prefill_per_ms_before", c.Before.PrefillPerMS,
			"base_ms", c.After.BaseMS, "base_ms_before", c.Before.BaseMS, "running_ms", c.After.RunningMS, "waiting_ms", c.After.WaitingMS,
			"work_ms", c.After.WorkMS, "work_ms_before", c.Before.WorkMS, "samples", c.Samples, "peers", c.Peers)
	}
}

// receiveRates takes what another node has learned. A message without rates leaves what
// earlier ones said.
func (n *Node) receiveRates(m *mesh.Message) {
	if len(m.Rates) == 0 {
		return
	}
	l := make(map[string]rates.Learned, len(m.Rates))
	for _, r := range m.Rates {
		l[r.Service] = rates.Learned{Samples: r.Samples, Rates: rates.Rates{
			EngineRates: rates.EngineRates{PrefillPerMS: r.PrefillPerMS, BaseMS: r.BaseMS, RunningMS: r.RunningMS, WaitingMS: r.WaitingMS},
			PlainRates:  rates.PlainRates{WorkMS: r.WorkMS},
		}}
	}
	n.placer.ApplyRates(m.Name, l)
}
