package config

import (
	"dunlinsail/internal/stricttoml"
)

// Process bounds what the daemon takes of its host.
type Process struct {
	Cores       int             `toml:"cores"` // 0 is all there are
	Memory      stricttoml.Size `toml:"memory"`
	Descriptors int             `toml:"descriptors"`
}

// Discovery is where the list of endpoints comes from.
type Discovery struct {
	Address string `toml:"address"`
	Mode    string `toml:"mode"` // "watch" or "ask"
}

// Takeover says how a new process takes over from the one that serves.
type Takeover struct {
	Socket      string              `toml:"socket"` // empty: a restart is a cold start
	ReadyWithin stricttoml.Duration `toml:"ready_within"`
	DrainWithin stricttoml.Duration `toml:"drain_within"`
}

// Operators says where operators call.
type Admin struct {
	Address string `toml:"address"` // host:port on loopback; empty: nowhere
}

// Record says whether and how an access record is kept.
type AccessLog struct {
	Dir         string              `toml:"dir"` // empty: none is
	SampleRate  float64             `toml:"sample"`
	SegmentRows int                 `toml:"segment_rows"`
	SegmentAge  stricttoml.Duration `toml:"segment_age"`
	MaxBytes    stricttoml.Size     `toml:"keep"`
	SecretFile  string              `toml:"secret"` // a file
}

// Control says where versions of the configuration come from, beside the file.
type ControlPlane struct {
	Address               string              `toml:"address"` // host:port of a control service; empty: there is none
	Node                  string              `toml:"node"`    // who this instance is to it; empty: name
	Cluster               string              `toml:"cluster"`
	CA                    string              `toml:"ca"`   // files, PEM: by whom the service is vouched for,
	Cert                  string              `toml:"cert"` // and what this instance shows
	Key                   string              `toml:"key"`
	ServerName            string              `toml:"server_name"` // in the service's certificate; empty: the host of address
	Plaintext             bool                `toml:"plaintext"`   // on loopback, without TLS
	StateDir              string              `toml:"state"`       // a folder where good versions are kept
	Pinned                []string            `toml:"pin"`         // what of the file no version replaces: "table", "table.key", "list.name"
	CanaryDuration        stricttoml.Duration `toml:"trial"`       // how long a version is on trial; 0 is not at all
	HarmMargin            float64             `toml:"trial_margin"`
	Alpha                 float64             `toml:"trial_alpha"`
	MinValidationInterval stricttoml.Duration `toml:"gap"`
	MaxResponseSize       stricttoml.Size     `toml:"size_most"`
	MaxBackoff            stricttoml.Duration `toml:"retry_most"`
}

// Tries says whether versions are on trial before they count as good.
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

// Requests bounds what the instance takes on.
type Requests struct {
	MaxOpen     int `toml:"open"`
	InFlight    int `toml:"in_flight"` // 0 is learned
	MinInFlight int `toml:"in_flight_least"`
	MaxInFlight int `toml:"in_flight_most"`
}
