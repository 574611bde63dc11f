package config

import (
	"dunlinsail/internal/stricttoml"
)

// Process limits the host resources that the daemon uses.
type Process struct {
	// Cores is the largest number of processors used at once. 0, the default, is all processors of the host.
	Cores int `toml:"cores"`

	// Memory is the memory limit: at least 16MiB. Garbage is collected more often once half of it is in use. The
	// default is 256MiB.
	Memory stricttoml.Size `toml:"memory"`

	// Descriptors is the largest number of open sockets and files: at least 128. The daemon raises the limit of its
	// process to it and fails to start if it cannot. The default is 4096.
	Descriptors int `toml:"descriptors"`
}

// Discovery configures the source of the endpoint list. In a file with routes, each pool configures its own source
// instead.
type Discovery struct {
	// Address is the host:port of the discovery service. It is required in a file without routes, and not allowed
	// in a file with routes.
	Address string `toml:"address"`

	// Mode is "watch", the default, for a permanent watch, or "ask" for polling by the balancer.
	Mode string `toml:"mode"`
}

// Takeover configures hot restart, in which a new process takes over from the serving process.
type Takeover struct {
	// Socket is the path of the unix socket over which the two processes communicate. The default is "", which
	// disables hot restart: each process starts without the state of its predecessor.
	Socket string `toml:"socket"`

	// ReadyTimeout is the time within which a new process must be ready; otherwise the old process continues to
	// serve. It must be positive; the default is 10s.
	ReadyTimeout stricttoml.Duration `toml:"ready_within"`

	// DrainTimeout is the time within which the old process must finish its open requests. What has no response by
	// then is answered 503 or 504, and what streams is broken off. Without the key it is 500ms over the longest
	// Class.ClientTimeout, and at least 5s; Config.setDrainTimeout.
	DrainTimeout stricttoml.Duration `toml:"drain_within"`
}

// Admin configures the HTTP interface for operators.
type Admin struct {
	// Address is a host:port on loopback. The default is "", which disables the interface.
	Address string `toml:"address"`
}

// AccessLog configures the access log, which has a row for each request and is written as Apache Parquet files.
type AccessLog struct {
	// Dir is the absolute path of the folder for the files. The default is "", which disables the access log.
	Dir string `toml:"dir"`

	// SampleRate is the fraction of requests that are logged: over 0, up to 1. Requests with the same idempotency
	// key are either all logged or all skipped. The default is 1.
	SampleRate float64 `toml:"sample"`

	// SegmentRows is the largest number of rows in a file, from 100 to 1000000. The default is 20000.
	SegmentRows int `toml:"segment_rows"`

	// SegmentAge is the time after which a new file is started, from 100ms to 1h. If the process dies, the rows of
	// the unfinished file are lost. The default is 10s.
	SegmentAge stricttoml.Duration `toml:"segment_age"`

	// MaxBytes is the largest total size of the instance's files; the oldest files are deleted when it is exceeded.
	// It must be at least 1MiB; the default is 1GiB, and 0 is no limit.
	MaxBytes stricttoml.Size `toml:"keep"`

	// SecretFile is the path of a file with the secret for hashing idempotency keys and objects. It is required
	// with Dir. All instances must have the same secret.
	SecretFile string `toml:"secret"`
}

// ControlPlane configures the control plane, from which the daemon receives versions of the configuration in
// addition to the file.
type ControlPlane struct {
	// Address is the host:port of an xDS server (gRPC). The default is "", which disables the control plane.
	Address string `toml:"address"`

	// Node is the node ID that is sent to the server. The default is "", which sends Config.Name.
	Node string `toml:"node"`

	// Cluster is the name of the group of instances that is sent to the server. The default is "".
	Cluster string `toml:"cluster"`

	// CA, Cert and Key are paths of PEM files: the certificate authority that signed the server's certificate, and
	// the certificate and private key of this instance. All three are required with Address unless Plaintext is
	// set.
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`

	// ServerName is the name that the server's certificate must have. The default is "", which expects the host of
	// Address.
	ServerName string `toml:"server_name"`

	// Plaintext disables TLS. It is only valid if Address is on loopback.
	Plaintext bool `toml:"plaintext"`

	// StateDir is the absolute path of the folder in which package configcache stores versions. An instance that
	// cannot reach the server starts with the last known good version. It is required with Address.
	StateDir string `toml:"state"`

	// PinnedParts are the parts of the file that no version replaces, as "table", "table.key" or "list.name". The
	// default is "listener", "fleet.zone" and "fleet.position".
	PinnedParts []string `toml:"pin"`

	// CanaryDuration is the time for which a new version is on canary: at least 1s. The version is rolled back if
	// the service or its error rate gets worse during this time. 0 confirms versions immediately. The default is
	// 30s.
	CanaryDuration stricttoml.Duration `toml:"trial"`

	// HarmMargin is the largest loss of service, as a fraction, that a version on canary may cause and still counts
	// as harmless: at least 0, less than 1. The default is 0.01.
	HarmMargin float64 `toml:"trial_margin"`

	// Alpha is the probability that a harmless version is rolled back: over 0, less than 0.5. The default is 0.001.
	Alpha float64 `toml:"trial_alpha"`

	// MinValidationInterval is the shortest time between the validations of two versions: at least 10ms. The
	// default is 1s.
	MinValidationInterval stricttoml.Duration `toml:"gap"`

	// MaxResponseSize is the largest size of a response of the server, from 4KiB to 64MiB. The default is 4MiB.
	MaxResponseSize stricttoml.Size `toml:"size_most"`

	// MaxBackoff is the longest delay before the daemon reconnects to a failing server: at least 100ms. The default
	// is 30s.
	MaxBackoff stricttoml.Duration `toml:"retry_most"`
}

// CanaryEnabled reports whether a new version has to pass a canary before it is confirmed.
func (c *ControlPlane) CanaryEnabled() bool {
	return (c.Address != "" || c.StateDir != "") && c.CanaryDuration.Duration > 0
}

// Connections limits the numbers of connections to clients and endpoints. Their sum must not exceed
// Process.Descriptors minus the 32 descriptors that are reserved for other uses.
type Connections struct {
	// MaxClients is the largest number of client connections. 0, the default, is half of the descriptors that are
	// not reserved.
	MaxClients int `toml:"clients"`

	// MaxIdle is the largest number of client connections without an open request, from 1 to MaxClients. 0, the
	// default, is a sixth of the descriptors that are not reserved.
	MaxIdle int `toml:"at_rest"`

	// MaxIdleTime is the longest time that a client connection may be idle while few connections are idle. It must
	// be positive; the default is 15s.
	MaxIdleTime stricttoml.Duration `toml:"rest_most"`

	// MinIdleTime is the longest time that a client connection may be idle while MaxIdle connections are idle. It
	// must not exceed MaxIdleTime; the default is 100ms.
	MinIdleTime stricttoml.Duration `toml:"rest_least"`

	// MaxEndpoints is the largest number of connections to endpoints. 0, the default, is all descriptors that are
	// neither reserved nor needed for MaxClients.
	MaxEndpoints int `toml:"endpoints"`
}

// Requests limits the requests of all clients together. MaxOpen applies to all pools together, the other limits to
// each pool.
type Requests struct {
	// MaxOpen is the largest number of requests that are queued or in flight: at least 1. Further requests are
	// rejected. The default is 2000.
	MaxOpen int `toml:"open"`

	// InFlight is a fixed limit of the requests in flight in a pool. With 0, the default, the limit is adaptive.
	InFlight int `toml:"in_flight"`

	// MinInFlight is the lower bound of the adaptive limit: at least 1. The default is 4.
	MinInFlight int `toml:"in_flight_least"`

	// MaxInFlight is the upper bound of the adaptive limit: at least MinInFlight. The default is 1000.
	MaxInFlight int `toml:"in_flight_most"`
}
