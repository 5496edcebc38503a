package config

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/memory"
)

// Settings are the settings of one node, read when it starts.
type Settings struct {
	Node     NodeSettings     `yaml:"node"`
	Listen   ListenSettings   `yaml:"listen"`
	TLS      TLSSettings      `yaml:"tls"`
	Platform PlatformSettings `yaml:"platform"`
	Peers    PeerSettings     `yaml:"peers"`
	Callers  CallerSettings   `yaml:"callers"`
	Memory   MemorySettings   `yaml:"memory"`
	Drain    DrainSettings    `yaml:"drain"`
	Log      LogSettings      `yaml:"log"`
}

// NodeSettings are the node's name and location.
type NodeSettings struct {
	Name       string `yaml:"name"`        // unique in the fleet
	DataCentre string `yaml:"data_centre"` // data centre of the host
	Region     string `yaml:"region"`      // region of the data centre
}

// ListenSettings are the node's addresses, each an IP address and a port.
type ListenSettings struct {
	Callers   string `yaml:"callers"`   // address of the HTTP listener for callers
	Admin     string `yaml:"admin"`     // address of the HTTP listener for operators
	Peers     string `yaml:"peers"`     // UDP and TCP address for other nodes
	Advertise string `yaml:"advertise"` // address given to callers; defaults to Callers
}

// TLSSettings are the node's TLS certificates. Certificate and key files are
// reloaded when they change.
type TLSSettings struct {
	Callers CertSettings `yaml:"callers"` // certificate of the listener for callers; TLS is disabled if it is empty
	Peers   CertSettings `yaml:"peers"`   // certificate for mutual TLS between nodes; TLS is disabled if it is empty
}

// CertSettings are the paths of one certificate's PEM files.
type CertSettings struct {
	Cert string `yaml:"cert"` // certificate
	Key  string `yaml:"key"`  // private key of the certificate
	CA   string `yaml:"ca"`   // certificate authority that signed the peers' certificates; unused for callers
}

// Enabled reports whether a certificate is configured.
func (c CertSettings) Enabled() bool { return c.Cert != "" }

// PlatformSettings configure access to the platform.
type PlatformSettings struct {
	URL     string        `yaml:"url"`
	Timeout time.Duration `yaml:"timeout"` // limit of each call other than a watch
}

// PeerSettings configure the communication between nodes.
type PeerSettings struct {
	Seeds  []string `yaml:"seeds"`  // peer addresses through which the node joins the fleet
	Secret string   `yaml:"secret"` // shared by all nodes; authenticates peers and signs stream positions
}

// CallerSettings are limits on callers' requests.
type CallerSettings struct {
	MaxBodyBytes   int64         `yaml:"max_body_bytes"`   // maximum size of a request's body
	MaxHeaderBytes int           `yaml:"max_header_bytes"` // maximum size of a request's header
	HeaderTimeout  time.Duration `yaml:"header_timeout"`   // limit of receiving a request's header
	BodyTimeout    time.Duration `yaml:"body_timeout"`     // limit of receiving a request's body
	WriteTimeout   time.Duration `yaml:"write_timeout"`    // limit of sending one event of a stream to the caller
	KeyFreshness   time.Duration `yaml:"key_freshness"`    // how long keys are accepted after the platform last confirmed the configuration
}

// MemorySettings limit what the process holds. Zero stands for the default.
type MemorySettings struct {
	LimitMB        int `yaml:"limit_mb"`        // memory that the process may use; by default GOMEMLIMIT, or that of the host if it is not set
	MaxConnections int `yaml:"max_connections"` // connections of callers; by default as many as memory and descriptors allow
}

// Stated returns the memory limit of the process in bytes that the settings or GOMEMLIMIT state,
// or 0 if they state none.
func (m MemorySettings) Stated() int64 {
	if m.LimitMB > 0 {
		return int64(m.LimitMB) << 20
	}
	return memory.StatedMemory()
}

// Limits returns the limits that follow from the settings and the host.
func (m MemorySettings) Limits() memory.Limits {
	bytes := m.Stated()
	if bytes <= 0 {
		bytes = memory.HostMemory()
	}
	l := memory.LimitsFor(bytes, memory.Descriptors(0))
	if m.MaxConnections > 0 {
		l.Connections = min(l.Connections, m.MaxConnections)
	}
	return l
}

// BodyFactor is the memory that the body of a chat request needs, as a multiple of its size: it is
// held as it arrived, decoded and split into parts.
const BodyFactor = 5

// DrainSettings configure a graceful stop.
type DrainSettings struct {
	EntriesTTL time.Duration `yaml:"entries_ttl"` // how long callers may use an answer to GET /v1/entries
	MaxWait    time.Duration `yaml:"max_wait"`    // limit on the wait for requests in flight
}

// LogSettings configure logging.
type LogSettings struct {
	Verbosity int `yaml:"verbosity"` // klog verbosity, 0 to 5
}

// DefaultSettings returns the defaults of the optional settings. The required ones
// are empty.
func DefaultSettings() Settings {
	return Settings{
		Platform: PlatformSettings{Timeout: time.Second},
		Callers: CallerSettings{
			MaxBodyBytes: 8 << 20, MaxHeaderBytes: 64 << 10,
			HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second, WriteTimeout: 30 * time.Second,
			KeyFreshness: 3 * time.Second,
		},
		Drain: DrainSettings{EntriesTTL: 5 * time.Second, MaxWait: 2 * time.Minute},
	}
}

// ReadSettings reads and validates the settings file. It returns an error of kind
// not_found if the file can't be read.
func ReadSettings(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, vane.Errorf(vane.KindNotFound, "config.settings", "name a readable settings file with --config", "cannot read %s", file).WithCause(err)
	}
	return ParseSettings(file, b)
}

// ParseSettings parses and validates settings in YAML. file is used in error
// messages only. Errors are of type *FieldError.
func ParseSettings(file string, b []byte) (Settings, error) {
	s := DefaultSettings()
	d, err := decode(file, b, &s)
	if err != nil {
		return Settings{}, err
	}
	if s.Listen.Advertise == "" {
		s.Listen.Advertise = s.Listen.Callers
	}
	if err := s.check(d); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// check validates required values, addresses and ranges, which the decoder does not
// check.
func (s Settings) check(d *document) error {
	for _, f := range []struct{ path, value, remedy string }{
		{"$.node.name", s.Node.Name, "give the node a name that no other node has"},
		{"$.node.data_centre", s.Node.DataCentre, "name the data centre of the host"},
		{"$.platform.url", s.Platform.URL, "write the platform's URL, for example http://10.0.0.5:7000"},
		{"$.peers.secret", s.Peers.Secret, "write at least 16 characters, the same on all nodes"},
	} {
		if f.value == "" {
			return d.fieldError(f.path, "a value is required", f.remedy)
		}
	}
	if len(s.Peers.Secret) < minSecretLen {
		return d.fieldError("$.peers.secret", "at least 16 characters are required", "write a longer secret, the same on all nodes")
	}
	if u, err := url.Parse(s.Platform.URL); err != nil || u.Host == "" {
		return d.fieldError("$.platform.url", "not a URL", "write the platform's URL, for example http://10.0.0.5:7000")
	}
	if err := s.checkAddrs(d); err != nil {
		return err
	}
	if err := s.checkMemory(d); err != nil {
		return err
	}
	return s.checkBounds(d)
}

// minSecretLen is the minimum length of the shared secret in bytes.
const minSecretLen = 16

// checkAddrs validates the node's own addresses and its seeds.
func (s Settings) checkAddrs(d *document) error {
	addrs := []struct{ path, value string }{
		{"$.listen.callers", s.Listen.Callers},
		{"$.listen.admin", s.Listen.Admin},
		{"$.listen.peers", s.Listen.Peers},
		{"$.listen.advertise", s.Listen.Advertise},
	}
	for _, seed := range s.Peers.Seeds {
		addrs = append(addrs, struct{ path, value string }{"$.peers.seeds", seed})
	}
	for _, a := range addrs {
		host, _, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(host) == nil {
			return d.fieldError(a.path, "an IP address with a port is required", "write for example 10.0.0.7:8080")
		}
	}
	return nil
}

// checkBounds validates sizes and durations, and that no path of a configured
// certificate is missing.
func (s Settings) checkBounds(d *document) error {
	for _, f := range []struct {
		path     string
		value    time.Duration
		min, max time.Duration
	}{
		{"$.platform.timeout", s.Platform.Timeout, 10 * time.Millisecond, time.Minute},
		{"$.callers.header_timeout", s.Callers.HeaderTimeout, 100 * time.Millisecond, time.Minute},
		{"$.callers.body_timeout", s.Callers.BodyTimeout, 100 * time.Millisecond, 10 * time.Minute},
		{"$.callers.write_timeout", s.Callers.WriteTimeout, 100 * time.Millisecond, 10 * time.Minute},
		{"$.callers.key_freshness", s.Callers.KeyFreshness, time.Second, time.Minute},
		{"$.drain.entries_ttl", s.Drain.EntriesTTL, 100 * time.Millisecond, 5 * time.Minute},
		{"$.drain.max_wait", s.Drain.MaxWait, time.Second, time.Hour},
	} {
		if f.value < f.min || f.value > f.max {
			return d.fieldError(f.path, "must lie between "+f.min.String()+" and "+f.max.String(), "write a duration in that range")
		}
	}
	if s.Callers.MaxBodyBytes < 1<<10 || s.Callers.MaxBodyBytes > 1<<30 {
		return d.fieldError("$.callers.max_body_bytes", "must lie between 1024 and 1073741824", "write a size in bytes in that range")
	}
	if s.Callers.MaxHeaderBytes < 1<<10 || s.Callers.MaxHeaderBytes > 1<<20 {
		return d.fieldError("$.callers.max_header_bytes", "must lie between 1024 and 1048576", "write a size in bytes in that range")
	}
	if s.TLS.Callers.Enabled() && s.TLS.Callers.Key == "" {
		return d.fieldError("$.tls.callers.key", "a certificate needs its key", "name the PEM file of the key")
	}
	if s.TLS.Peers.Enabled() && (s.TLS.Peers.Key == "" || s.TLS.Peers.CA == "") {
		return d.fieldError("$.tls.peers", "mutual TLS needs cert, key and ca", "name all three PEM files")
	}
	return nil
}

// checkMemory validates the memory settings, and that the largest body fits into the memory.
func (s Settings) checkMemory(d *document) error {
	if s.Memory.LimitMB < 0 || s.Memory.LimitMB > 1<<20 {
		return d.fieldError("$.memory.limit_mb", "must lie between 0 and 1048576", "write a size in megabytes in that range, or 0 for the default")
	}
	if s.Memory.MaxConnections < 0 || s.Memory.MaxConnections > 1<<20 {
		return d.fieldError("$.memory.max_connections", "must lie between 0 and 1048576", "write a number in that range, or 0 for the default")
	}
	if least := BodyFactor * s.Callers.MaxBodyBytes; s.Memory.Limits().Capacity < least {
		return d.fieldError("$.callers.max_body_bytes", fmt.Sprintf("a body of that size needs %d bytes of memory, the limit leaves %d", least, s.Memory.Limits().Capacity),
			"write a smaller size, or allow the process more memory (memory.limit_mb)")
	}
	return nil
}
