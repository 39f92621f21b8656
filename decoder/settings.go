package decoder

import (
	"net/netip"
	"time"
)

// Settings holds the start-up settings of one entry VM. They do not change while the
// process runs.
type Settings struct {
	VM             string        // id of this VM, unique among live VMs
	Zone           string        // availability zone
	CallersAddress string        // IP:PORT to listen on for callers and operators
	PeersAddress   string        // IP:PORT to listen on for other entry VMs
	Translated     bool          // other entry VMs reach this one at its address in the VM list, not at PeersAddress
	LogAddress     string        // IP:PORT of the platform's log service
	ListAddress    string        // IP:PORT of the platform's VM list
	PeerAddresses  []string      // IP:PORT of other entry VMs, used while the VM list is unavailable
	SecretFile     string        // file with the shared secret of the entry VMs
	LogLevel       string        // "debug", "info", "warning" or "error"
	DrainDelay     time.Duration // time at shutdown during which callers are still served and told to use another VM
	DrainTimeout   time.Duration // maximum wait for requests in flight at shutdown
	Retention      time.Duration // minimum time that the log keeps a record
	AppendRate     int           // maximum appends per second by this VM to each stream
	MaxRequests    int           // maximum concurrent requests, including waiting ones
	MemoryMB       int           // soft heap limit in mebibytes, above which garbage collection runs more often
	MaxHeaderBytes int           // maximum size of a request's header
	OperatorHash   string        // hex SHA-256 of a key that may always publish, whatever the configuration says
}

// rawSettings is the schema of a settings file.
type rawSettings struct {
	VM       any         `toml:"vm"`
	Zone     any         `toml:"zone"`
	LogLevel any         `toml:"log-level"`
	Listen   rawListen   `toml:"listen"`
	Platform rawPlatform `toml:"platform"`
	Peers    rawPeers    `toml:"peers"`
	Operator rawOperator `toml:"operator"`
	Limits   rawLimits   `toml:"limits"`
}

type rawListen struct {
	Callers    any `toml:"callers"`
	Peers      any `toml:"peers"`
	Translated any `toml:"translated"`
}

type rawPlatform struct {
	Log        any `toml:"log"`
	List       any `toml:"list"`
	Retention  any `toml:"retention"`
	AppendRate any `toml:"append-rate"`
}

type rawPeers struct {
	Addresses  any `toml:"addresses"`
	SecretFile any `toml:"secret-file"`
}

type rawOperator struct {
	KeyHash any `toml:"key-hash"`
}

type rawLimits struct {
	DrainDelay     any `toml:"drain-delay"`
	DrainTimeout   any `toml:"drain-timeout"`
	MaxRequests    any `toml:"max-requests"`
	MaxHeaderBytes any `toml:"max-header-bytes"`
	MemoryMB       any `toml:"memory-mb"`
}

// The defaults and ranges of settings; docs/SETTINGS.md repeats them.
const (
	defaultRetention = 24 * time.Hour
	minRetention     = time.Minute // a snapshot is appended after a quarter of the retention
	maxRetention     = 365 * 24 * time.Hour

	defaultAppendRate = 20 // per second; 8 VMs together stay within a few hundred
	maxAppendRate     = 1000

	defaultDrainDelay = 2 * time.Second // load balancers check readiness about once a second
	maxDrainDelay     = time.Minute

	defaultDrainTimeout = 30 * time.Second
	maxDrainTimeout     = time.Hour

	defaultRequests = 4096
	maxRequests     = 1_000_000

	defaultHeapMB = 112 // leaves 16 MiB for memory outside the heap, of the 128 MiB that control may use
	minHeapMB     = 32
	maxHeapMB     = 1 << 20

	defaultHeaderBytes = 16 << 10
	minHeaderBytes     = 1 << 10
	maxHeaderBytes     = 1 << 20
)

// DecodeSettings decodes a settings file. The error, if any, is of type Problems and
// holds all problems, sorted.
func DecodeSettings(f File) (Settings, error) {
	var r rawSettings
	p, ok := parseInto(f, &r)
	if !ok {
		return Settings{}, p.problems.sorted()
	}
	s := settings(scope{file: p}, r)
	if len(p.problems) > 0 {
		return Settings{}, p.problems.sorted()
	}
	return s, nil
}

func settings(s scope, r rawSettings) Settings {
	listen, platform := s.child("listen"), s.child("platform")
	peers, limits := s.child("peers"), s.child("limits")
	return Settings{
		VM:             s.name("vm", r.VM),
		Zone:           s.name("zone", r.Zone),
		LogLevel:       s.choice("log-level", r.LogLevel, "info", "debug", "warning", "error"),
		CallersAddress: listen.address("callers", r.Listen.Callers, true),
		PeersAddress:   listen.address("peers", r.Listen.Peers, true),
		Translated:     listen.boolean("translated", r.Listen.Translated),
		LogAddress:     platform.address("log", r.Platform.Log, false),
		ListAddress:    platform.address("list", r.Platform.List, false),
		Retention:      platform.duration("retention", r.Platform.Retention, defaultRetention, minRetention, maxRetention),
		AppendRate:     platform.integer("append-rate", r.Platform.AppendRate, defaultAppendRate, 1, maxAppendRate),
		PeerAddresses:  peers.addressList("addresses", r.Peers.Addresses),
		SecretFile:     peers.fileName("secret-file", r.Peers.SecretFile),
		OperatorHash:   s.child("operator").hash("key-hash", r.Operator.KeyHash),
		DrainDelay:     limits.duration("drain-delay", r.Limits.DrainDelay, defaultDrainDelay, 0, maxDrainDelay),
		DrainTimeout:   limits.duration("drain-timeout", r.Limits.DrainTimeout, defaultDrainTimeout, time.Second, maxDrainTimeout),
		MaxRequests:    limits.integer("max-requests", r.Limits.MaxRequests, defaultRequests, 1, maxRequests),
		MemoryMB:       limits.integer("memory-mb", r.Limits.MemoryMB, defaultHeapMB, minHeapMB, maxHeapMB),
		MaxHeaderBytes: limits.integer("max-header-bytes", r.Limits.MaxHeaderBytes, defaultHeaderBytes, minHeaderBytes, maxHeaderBytes),
	}
}

const addressAllowed = "IP:PORT with a numeric IP address"

// address reads a required address. Port 0, with which the system chooses a port, is
// allowed only in addresses to listen on.
func (s scope) address(key string, v any, allowZeroPort bool) string {
	if v == nil {
		s.addProblem(key, nil, addressAllowed)
		return ""
	}
	return s.text(key, v, "", addressAllowed, func(t string) bool {
		a, err := netip.ParseAddrPort(t)
		return err == nil && (allowZeroPort || a.Port() != 0)
	})
}

// addressList reads an array of addresses.
func (s scope) addressList(key string, v any) []string {
	if v == nil {
		return nil
	}
	a, ok := v.([]any)
	if !ok {
		s.addProblem(key, v, "an array of "+addressAllowed)
		return nil
	}
	var addresses []string
	for i, e := range a {
		x := s.entry(key, i)
		n := len(x.file.problems)
		t := x.address("", e, false)
		if len(x.file.problems) == n {
			addresses = append(addresses, t)
		}
	}
	return addresses
}

// fileName reads a required file name.
func (s scope) fileName(key string, v any) string {
	const allowed = "a file name"
	if v == nil {
		s.addProblem(key, nil, allowed)
		return ""
	}
	return s.text(key, v, "", allowed, func(t string) bool { return t != "" })
}

// hash reads the hash of a bearer key.
func (s scope) hash(key string, v any) string {
	return s.text(key, v, "", "the hex SHA-256 of a key, as printed by lacewingdoor key", hashPattern.MatchString)
}
