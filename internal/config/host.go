package config

import (
	"dunlinsail/internal/stricttoml"
)

// Process bounds the resources that the daemon uses on its host.
type Process struct {
	// Cores is the number of processors that are used at once; 0, the default, is all of the host.
	Cores int `toml:"cores"`

	// Memory is the memory limit: default 256MiB, at least 16MiB. Garbage is collected more often from half of it on.
	Memory stricttoml.Size `toml:"memory"`

	// Descriptors is the limit of open sockets and files: default 4096, at least 128. The daemon raises its own limit
	// to it, or does not start.
	Descriptors int `toml:"descriptors"`
}

// Discovery configures the source of the endpoint list. With routes each pool names its own source instead.
type Discovery struct {
	// Address is host:port of the discovery service. It is required without routes, and not allowed with them.
	Address string `toml:"address"`

	// Mode is "watch", the default, for a watch that is held permanently, or "ask" for one that the balancer polls.
	Mode string `toml:"mode"`
}

// Takeover configures hot restart: how a new process takes over from the one that serves.
type Takeover struct {
	// Socket is the path of a unix socket on which the processes meet; "", the default, turns hot restart off: each
	// start is without state.
	Socket string `toml:"socket"`

	// ReadyWithin is how long a new process may take to be ready: default 10s, positive. Later the old one goes on.
	ReadyWithin stricttoml.Duration `toml:"ready_within"`

	// DrainWithin is how long the old process may take to end its open requests: default 5s.
	DrainWithin stricttoml.Duration `toml:"drain_within"`
}

// Admin configures the operators' HTTP calls.
type Admin struct {
	// Address is host:port on loopback; "", the default, turns the calls off.
	Address string `toml:"address"`
}

// AccessLog configures the access log: a row for each request, in files of Apache Parquet.
type AccessLog struct {
	// Dir is the folder of the files, absolute; "", the default, turns the log off.
	Dir string `toml:"dir"`

	// SampleRate is the fraction of requests that are logged: default 1, over 0 to 1. All requests for one idempotency
	// key are logged, or none.
	SampleRate float64 `toml:"sample"`

	// SegmentRows is the largest number of rows of a file: default 20000, 100 to 1000000.
	SegmentRows int `toml:"segment_rows"`

	// SegmentAge is how long a file is written to: default 10s, 100ms to 1h. A process that dies loses these rows.
	SegmentAge stricttoml.Duration `toml:"segment_age"`

	// MaxBytes is the size of all files of the instance, beyond which the oldest are deleted: default 1GiB, at least
	// 1MiB; 0 is no bound.
	MaxBytes stricttoml.Size `toml:"keep"`

	// SecretFile is a file whose text idempotency keys and objects are hashed with. It is required with Dir, and the
	// same for all instances.
	SecretFile string `toml:"secret"`
}

// ControlPlane configures where versions of the configuration come from, beside the file.
type ControlPlane struct {
	// Address is host:port of an xDS server (gRPC); "", the default, turns versions from a control plane off.
	Address string `toml:"address"`

	// Node is the node ID that the server sees; "", the default, is Config.Name.
	Node string `toml:"node"`

	// Cluster is the group of instances that the server sees; default "".
	Cluster string `toml:"cluster"`

	// CA, Cert and Key are PEM files: the authority of the server's certificate, and this instance's certificate and
	// key. All are required with Address, unless Plaintext is set.
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`

	// ServerName is the server's name in its certificate; "", the default, is the host of Address.
	ServerName string `toml:"server_name"`

	// Plaintext turns TLS off. It is valid for an Address on loopback only.
	Plaintext bool `toml:"plaintext"`

	// StateDir is the folder of package configcache, absolute: the last good version starts an instance while the
	// server cannot be reached. It is required with Address.
	StateDir string `toml:"state"`

	// Pinned are the parts of the file that no version replaces, as "table", "table.key" or "list.name": default
	// "listener", "fleet.zone" and "fleet.position".
	PinnedParts []string `toml:"pin"`

	// CanaryDuration is for how long a new version is on canary: default 30s, at least 1s. It is rolled back if
	// the service or its errors get worse meanwhile. 0 confirms versions at once.
	CanaryDuration stricttoml.Duration `toml:"trial"`

	// HarmMargin is the loss of service, as a fraction, up to which a version on canary counts as harmless: default
	// 0.01, 0 to under 1.
	HarmMargin float64 `toml:"trial_margin"`

	// Alpha is the probability of rolling back a harmless version: default 0.001, over 0 to under 0.5.
	Alpha float64 `toml:"trial_alpha"`

	// MinValidationInterval is the least time between two versions that are validated: default 1s, at least 10ms.
	MinValidationInterval stricttoml.Duration `toml:"gap"`

	// MaxResponseSize is the largest size of a version as it is received: default 4MiB, 4KiB to 64MiB.
	MaxResponseSize stricttoml.Size `toml:"size_most"`

	// MaxBackoff is the longest pause between connections to a server that fails: default 30s, at least 100ms.
	MaxBackoff stricttoml.Duration `toml:"retry_most"`
}

// CanaryEnabled reports whether versions are on canary before they are confirmed.
func (c *ControlPlane) CanaryEnabled() bool {
	return (c.Address != "" || c.StateDir != "") && c.CanaryDuration.Duration > 0
}

// Connections bounds the connections to clients and endpoints. Together they must fit into Process.Descriptors, of
// which 32 are reserved.
type Connections struct {
	// MaxClients is the limit of clients' connections; 0, the default, is half of the descriptors that are left.
	MaxClients int `toml:"clients"`

	// MaxIdle is the limit of clients' connections without an open request, 1 to MaxClients; 0, the default, is a sixth
	// of the descriptors that are left.
	MaxIdle int `toml:"at_rest"`

	// MaxIdleTime is how long a client's connection may be idle while few are: default 15s, positive.
	MaxIdleTime stricttoml.Duration `toml:"rest_most"`

	// MinIdleTime is how long a client's connection may be idle when MaxIdle are: default 100ms, up to MaxIdleTime.
	MinIdleTime stricttoml.Duration `toml:"rest_least"`

	// MaxEndpoints is the limit of connections to endpoints; 0, the default, is all descriptors that clients leave.
	MaxEndpoints int `toml:"endpoints"`
}

// Requests bounds the requests of all clients: MaxOpen over all pools, the other limits in each pool.
type Requests struct {
	// MaxOpen is the limit of requests that are queued or in flight: default 2000, at least 1. More are rejected.
	MaxOpen int `toml:"open"`

	// InFlight is a fixed limit of requests in flight in each pool; 0, the default, is an adaptive limit.
	InFlight int `toml:"in_flight"`

	// MinInFlight is the least adaptive limit: default 4, at least 1.
	MinInFlight int `toml:"in_flight_least"`

	// MaxInFlight is the largest adaptive limit: default 1000, at least MinInFlight.
	MaxInFlight int `toml:"in_flight_most"`
}
