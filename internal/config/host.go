package config

import (
	"dunlinsail/internal/stricttoml"
)

// Process bounds the resources that the daemon uses on its host.
type Process struct {
	Cores       int             `toml:"cores"` // 0 is all there are
	Memory      stricttoml.Size `toml:"memory"`
	Descriptors int             `toml:"descriptors"`
}

// Discovery configures the source of the endpoint list.
type Discovery struct {
	Address string `toml:"address"`
	Mode    string `toml:"mode"` // "watch" or "ask"
}

// Takeover configures hot restart: how a new process takes over from the one that serves.
type Takeover struct {
	Socket      string              `toml:"socket"` // "": a restart starts without state
	ReadyWithin stricttoml.Duration `toml:"ready_within"`
	DrainWithin stricttoml.Duration `toml:"drain_within"`
}

// Admin configures the operators' HTTP calls.
type Admin struct {
	Address string `toml:"address"` // host:port on loopback; "": not served
}

// AccessLog configures the access log.
type AccessLog struct {
	Dir         string              `toml:"dir"` // "": none is written
	SampleRate  float64             `toml:"sample"`
	SegmentRows int                 `toml:"segment_rows"`
	SegmentAge  stricttoml.Duration `toml:"segment_age"`
	MaxBytes    stricttoml.Size     `toml:"keep"`
	SecretFile  string              `toml:"secret"`
}

// ControlPlane configures where versions of the configuration come from, beside the file.
type ControlPlane struct {
	Address               string              `toml:"address"` // host:port; "": there is none
	Node                  string              `toml:"node"`    // the node ID; "": Config.Name
	Cluster               string              `toml:"cluster"`
	CA                    string              `toml:"ca"`   // PEM file: the authority of the server's certificate
	Cert                  string              `toml:"cert"` // PEM file: this instance's certificate
	Key                   string              `toml:"key"`
	ServerName            string              `toml:"server_name"` // in its certificate; "": the host of Address
	Plaintext             bool                `toml:"plaintext"`   // on loopback, without TLS
	StateDir              string              `toml:"state"`       // the folder of package configcache
	Pinned                []string            `toml:"pin"`         // of the file: "table", "table.key", "list.name"
	CanaryDuration        stricttoml.Duration `toml:"trial"`       // 0: versions are confirmed at once
	HarmMargin            float64             `toml:"trial_margin"`
	Alpha                 float64             `toml:"trial_alpha"`
	MinValidationInterval stricttoml.Duration `toml:"gap"`
	MaxResponseSize       stricttoml.Size     `toml:"size_most"`
	MaxBackoff            stricttoml.Duration `toml:"retry_most"`
}

// CanaryEnabled reports whether versions are on canary before they are confirmed.
func (c *ControlPlane) CanaryEnabled() bool {
	return (c.Address != "" || c.StateDir != "") && c.CanaryDuration.Duration > 0
}

// Connections bounds the connections to clients and endpoints.
type Connections struct {
	MaxClients   int                 `toml:"clients"`
	MaxIdle      int                 `toml:"at_rest"`
	MaxIdleTime  stricttoml.Duration `toml:"rest_most"`
	MinIdleTime  stricttoml.Duration `toml:"rest_least"`
	MaxEndpoints int                 `toml:"endpoints"`
}

// Requests bounds the requests of the instance.
type Requests struct {
	MaxOpen     int `toml:"open"`
	InFlight    int `toml:"in_flight"` // 0: an adaptive limit
	MinInFlight int `toml:"in_flight_least"`
	MaxInFlight int `toml:"in_flight_most"`
}
