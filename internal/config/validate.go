package config

import (
	"net"
	"strconv"
	"strings"
	"time"

	"dunlinsail/internal/stricttoml"
)

// validator collects the mistakes in a configuration.
type validator struct{ stricttoml.Validation }

const (
	// reservedDescriptors are the descriptors for neither clients nor endpoints: standard streams, listeners, the
	// runtime, discovery and hot restart.
	reservedDescriptors = 32
	// minDescriptors is the least value of Process.Descriptors.
	minDescriptors = 128
	// minMemory is the least value of Process.Memory in bytes.
	minMemory = 16 << 20
	// idleDivisor is the part of the descriptors, a sixth, that clients' idle connections have by default: as many as
	// sidecar.idleConnsDivisor gives them.
	idleDivisor = 6
)

// config validates a configuration, and completes the values that depend on others.
func (k *validator) config(c *Config) {
	k.process(&c.Process)
	k.routes(c)
	k.Require(len(c.Routes) > 0 || isHostPort(c.Discovery.Address, 1), "discovery.address",
		"%q is no host:port with a port in 1..65535", c.Discovery.Address)
	subscribe := stricttoml.Enum(&k.Validation, "discovery.mode", c.Discovery.Mode,
		map[string]bool{"watch": false, "ask": true})

	k.Require(c.Takeover.ReadyWithin.Duration > 0, "takeover.ready_within", "must be positive")

	host, _, _ := net.SplitHostPort(c.Admin.Address)
	k.Require(c.Admin.Address == "" || isHostPort(c.Admin.Address, 1) && net.ParseIP(host).IsLoopback(),
		"operators.address", "%q is no host:port on loopback with a port in 1..65535", c.Admin.Address)
	k.accessLog(&c.AccessLog)
	k.controlPlane(c)
	k.connections(c)
	k.peers(c)
	k.maintenance(c)
	k.requests(&c.Requests)
	k.clients(c)
	k.listeners(c)
	k.site(c, subscribe)
}

func (k *validator) process(p *Process) {
	k.Require(p.Cores >= 0, "process.cores", "%d is negative", p.Cores)
	k.Require(p.Memory.Bytes >= minMemory, "process.memory", "under 16MiB nothing can be served")
	k.Require(p.Descriptors >= minDescriptors, "process.descriptors", "%d is under %d", p.Descriptors, minDescriptors)
}

func (k *validator) requests(r *Requests) {
	k.Require(r.MaxOpen >= 1, "requests.open", "%d: must be at least 1", r.MaxOpen)
	k.Require(r.InFlight >= 0, "requests.in_flight", "%d is negative", r.InFlight)
	k.Require(r.MinInFlight >= 1, "requests.in_flight_least", "%d: must be at least 1", r.MinInFlight)
	k.Require(r.MaxInFlight >= r.MinInFlight, "requests.in_flight_most", "%d is under in_flight_least, %d",
		r.MaxInFlight, r.MinInFlight)
}

func (k *validator) accessLog(r *AccessLog) {
	k.Require(r.Dir == "" || strings.HasPrefix(r.Dir, "/"), "record.dir", "%q: must begin with /", r.Dir)
	k.Require(r.Dir == "" || r.SecretFile != "", "record.secret",
		"is missing: a file whose text keys and objects are hashed with")
	k.Require(r.SampleRate > 0 && r.SampleRate <= 1, "record.sample", "%v: must be over 0, to 1", r.SampleRate)
	k.Require(r.SegmentRows >= 100 && r.SegmentRows <= 1_000_000, "record.segment_rows",
		"%d: must be in 100..1000000", r.SegmentRows)
	k.Require(r.SegmentAge.Duration >= 100*time.Millisecond && r.SegmentAge.Duration <= time.Hour,
		"record.segment_age", "%v: must be in 100ms..1h", r.SegmentAge)
	k.Require(r.MaxBytes.Bytes == 0 || r.MaxBytes.Bytes >= 1<<20, "record.keep",
		"under 1MiB nothing is kept; \"0B\" is no bound")
}

// isHostPort reports whether an address is a host with a numeric port, minPort at least.
func isHostPort(address string, minPort uint64) bool {
	host, port, err := net.SplitHostPort(address)
	n, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && host != "" && portErr == nil && n >= minPort
}
