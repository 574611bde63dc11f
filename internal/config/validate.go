package config

import (
	"net"
	"strconv"
	"strings"
	"time"

	"dunlinsail/internal/stricttoml"
)

// validator collects the mistakes that are found in a configuration.
type validator struct{ stricttoml.Validation }

const (
	// reservedDescriptors is the number of descriptors that are used for neither client nor endpoint connections:
	// the standard streams, listeners, the Go runtime, discovery and hot restart.
	reservedDescriptors = 32
	// minDescriptors is the smallest valid value of Process.Descriptors.
	minDescriptors = 128
	// minMemory is the smallest valid value of Process.Memory in bytes.
	minMemory = 16 << 20
	// idleDivisor is the number by which the unreserved descriptors are divided to get the default of
	// Connections.MaxIdle. sidecar.idleConnsDivisor has the same value.
	idleDivisor = 6
)

// config validates a configuration and sets the defaults that depend on other values.
func (v *validator) config(c *Config) {
	v.process(&c.Process)
	v.routes(c)
	v.Require(len(c.Routes) > 0 || isHostPort(c.Discovery.Address, 1), "discovery.address",
		"%q is no host:port with a port in 1..65535", c.Discovery.Address)
	polled := stricttoml.Enum(&v.Validation, "discovery.mode", c.Discovery.Mode,
		map[string]bool{"watch": false, "ask": true})

	v.Require(c.Takeover.ReadyTimeout.Duration > 0, "takeover.ready_within", "must be positive")

	host, _, _ := net.SplitHostPort(c.Admin.Address)
	v.Require(c.Admin.Address == "" || isHostPort(c.Admin.Address, 1) && net.ParseIP(host).IsLoopback(),
		"operators.address", "%q is no host:port on loopback with a port in 1..65535", c.Admin.Address)
	v.accessLog(&c.AccessLog)
	v.controlPlane(c)
	v.connections(c)
	v.peers(c)
	v.maintenance(c)
	v.requests(&c.Requests)
	v.clients(c)
	v.listeners(c)
	v.siteSettings(c, polled)
}

// process validates the limits of host resources.
func (v *validator) process(p *Process) {
	v.Require(p.Cores >= 0, "process.cores", "%d is negative", p.Cores)
	v.Require(p.Memory.Bytes >= minMemory, "process.memory", "under 16MiB nothing can be served")
	v.Require(p.Descriptors >= minDescriptors, "process.descriptors", "%d is under %d", p.Descriptors, minDescriptors)
}

// requests validates the limits of requests.
func (v *validator) requests(requests *Requests) {
	v.Require(requests.MaxOpen >= 1, "requests.open", "%d: must be at least 1", requests.MaxOpen)
	v.Require(requests.InFlight >= 0, "requests.in_flight", "%d is negative", requests.InFlight)
	v.Require(requests.MinInFlight >= 1, "requests.in_flight_least", "%d: must be at least 1", requests.MinInFlight)
	v.Require(requests.MaxInFlight >= requests.MinInFlight, "requests.in_flight_most",
		"%d is under in_flight_least, %d",
		requests.MaxInFlight, requests.MinInFlight)
}

// accessLog validates the access log's settings.
func (v *validator) accessLog(log *AccessLog) {
	v.Require(log.Dir == "" || strings.HasPrefix(log.Dir, "/"), "record.dir", "%q: must begin with /", log.Dir)
	v.Require(log.Dir == "" || log.SecretFile != "", "record.secret",
		"is missing: a file whose text keys and objects are hashed with")
	v.Require(log.SampleRate > 0 && log.SampleRate <= 1, "record.sample", "%v: must be over 0, to 1", log.SampleRate)
	v.Require(log.SegmentRows >= 100 && log.SegmentRows <= 1_000_000, "record.segment_rows",
		"%d: must be in 100..1000000", log.SegmentRows)
	v.Require(log.SegmentAge.Duration >= 100*time.Millisecond && log.SegmentAge.Duration <= time.Hour,
		"record.segment_age", "%v: must be in 100ms..1h", log.SegmentAge)
	v.Require(log.MaxBytes.Bytes == 0 || log.MaxBytes.Bytes >= 1<<20, "record.keep",
		"under 1MiB nothing is kept; \"0B\" is no bound")
}

// isHostPort reports whether an address is a non-empty host with a numeric port of at least minPort.
func isHostPort(address string, minPort uint64) bool {
	host, port, err := net.SplitHostPort(address)
	n, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && host != "" && portErr == nil && n >= minPort
}
