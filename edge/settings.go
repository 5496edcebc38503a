package edge

import (
	"net"
	"strconv"
	"time"

	vane "mustardvane.org/vane"
)

// Settings are the settings of a node for routed traffic.
type Settings struct {
	Node       string // unique among the nodes
	DataCentre string
	IP         string
	Callers    string // address for callers
	Ready      string // address for the platform's question whether the node is ready
	Directory  string // address for callers that ask which nodes to use
	Store      string // address of the platform's store

	MeshPort    int // for messages between nodes
	MetricsPort int
	MemoryMB    int     // of the process; zero for no bound
	LinkMbps    float64 // of the host's network link; zero if not known

	Grace           time.Duration // from the signal to stop until the process is killed
	DirectoryTTLMax time.Duration // longest time for which callers keep a directory answer
	FencePause      time.Duration // between the orders of two holders
	WeightsLimit    time.Duration // by which named weights must be in use
	RetryShare      float64       // repeats per request, over all nodes
	RetrySlack      float64       // repeats beyond, over all nodes
	RetryWindow     time.Duration
}

// DefaultSettings returns settings without names and addresses.
func DefaultSettings() Settings {
	return Settings{
		Grace: 8 * time.Second, DirectoryTTLMax: 5 * time.Second, FencePause: 3 * time.Second,
		WeightsLimit: 12 * time.Second, RetryShare: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
	}
}

// Check returns an error that names the first field that is not usable.
func (s Settings) Check() error {
	for _, f := range []struct{ name, value string }{
		{"node", s.Node}, {"data_centre", s.DataCentre}, {"ip", s.IP}, {"store", s.Store},
	} {
		if f.value == "" {
			return vane.Errorf(vane.KindInvalid, "edge.settings", "set it in the settings file", "field %s is empty", f.name)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"callers", s.Callers}, {"ready", s.Ready}, {"directory", s.Directory}, {"store", s.Store},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return vane.Errorf(vane.KindInvalid, "edge.settings", "give an address and a port", "field %s is no address", f.name).WithCause(err)
		}
	}
	if s.MeshPort <= 0 {
		return vane.Errorf(vane.KindInvalid, "edge.settings", "name the ports between nodes", "field mesh_port is not set")
	}
	return nil
}

// mesh returns the address for messages between nodes.
func (s Settings) mesh() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.MeshPort)) }

// ttl returns how long callers may keep a directory answer. A stopping node waits
// three times as long before it closes its listener, within its grace.
func (s Settings) ttl() time.Duration {
	const most = 900 * time.Millisecond // some callers keep an answer three times as long
	return min(most, s.DirectoryTTLMax, s.Grace/4)
}
