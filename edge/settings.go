package edge

import (
	"net"
	"strconv"
	"time"

	vane "mustardvane.org/vane"
)

// Settings configure a node for routed traffic.
type Settings struct {
	Node          string // unique among the nodes
	DataCentre    string
	IP            string // address on which messages between nodes and metrics are served
	CallerAddr    string // address on which callers are served
	ReadyAddr     string // address of the platform's readiness check
	DirectoryAddr string // address of the directory, which tells callers which nodes to use
	StoreAddr     string // address of the platform's store

	MeshPort    int     // port for messages between nodes
	MetricsPort int     // port for metrics; zero if they are not served
	MemoryMB    int     // memory limit of the process; zero for none
	LinkMbps    float64 // capacity of the host's network link; zero if not known

	Grace           time.Duration // time from the stop signal until the process is killed
	DirectoryTTLMax time.Duration // longest time for which callers may cache a directory answer
	FencePause      time.Duration // shortest time between the orders of two lease holders
	WeightsLimit    time.Duration // time within which all engines must serve newly designated weights
	ExposeShare     float64       // share of a service's requests that a faulty release may get during its roll-out
	RetryShare      float64       // retries per request, over all nodes
	RetrySlack      float64       // retries per window in addition to the share, over all nodes
	RetryWindow     time.Duration // period over which requests and retries are counted

	ColdOver        float64           // requests in a second to a cold upstream over all nodes, as a multiple of the rate that it tolerates
	ColdSlack       float64           // requests in a second to a cold upstream in addition to that
	EvacuationLimit time.Duration     // time after which no request goes to an evacuated data centre; zero if evacuations are not followed
	ContactLimit    time.Duration     // time after which callers are not sent to a node that ended, not counting 3 s; zero for no such limit
	Regions         map[string]string // region of each data centre; empty for a site of one region
	Region          string            // region of this node's data centre
}

// DefaultSettings returns the defaults, without names and addresses.
func DefaultSettings() Settings {
	return Settings{
		Grace: 8 * time.Second, DirectoryTTLMax: 5 * time.Second, FencePause: 3 * time.Second,
		WeightsLimit: 12 * time.Second, ExposeShare: 0.1, RetryShare: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		ColdOver: 1, // not more than the rate that the upstream tolerates
	}
}

// Check returns an error of KindInvalid that names the first unusable field.
func (s Settings) Check() error {
	for _, f := range []struct{ name, value string }{
		{"node", s.Node}, {"data_centre", s.DataCentre}, {"ip", s.IP}, {"store", s.StoreAddr},
	} {
		if f.value == "" {
			return vane.Errorf(vane.KindInvalid, "edge.settings", "set it in the settings file", "field %s is empty", f.name)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"callers", s.CallerAddr}, {"ready", s.ReadyAddr}, {"directory", s.DirectoryAddr}, {"store", s.StoreAddr},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return vane.Errorf(vane.KindInvalid, "edge.settings", "give an address and a port", "field %s is not an address of the form host:port", f.name).WithCause(err)
		}
	}
	if s.MeshPort <= 0 {
		return vane.Errorf(vane.KindInvalid, "edge.settings", "set the port for messages between nodes", "field mesh_port must be a positive port number")
	}
	return nil
}

// mesh returns the address for messages between nodes.
func (s Settings) mesh() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.MeshPort)) }

// region returns the region of this node, or "" if it is not stated.
func (s Settings) region() string {
	if r := s.Regions[s.DataCentre]; r != "" {
		return r
	}
	return s.Region
}

// ttl returns how long callers may cache a directory answer. A stopping node waits
// three times as long before it closes its listener, within its grace period.
func (s Settings) ttl() time.Duration {
	const most = 900 * time.Millisecond // some callers keep a directory answer for three times as long as stated
	return min(most, s.DirectoryTTLMax, s.Grace/4)
}
