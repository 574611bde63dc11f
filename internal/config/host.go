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
type Operators struct {
	Address string `toml:"address"` // host:port on loopback; empty: nowhere
}

// Record says whether and how an access record is kept.
type Record struct {
	Dir         string              `toml:"dir"` // empty: none is
	Sample      float64             `toml:"sample"`
	SegmentRows int                 `toml:"segment_rows"`
	SegmentAge  stricttoml.Duration `toml:"segment_age"`
	Keep        stricttoml.Size     `toml:"keep"`
	Secret      string              `toml:"secret"` // a file
}

// Control says where versions of the configuration come from, beside the file.
type Control struct {
	Address    string              `toml:"address"` // host:port of a control service; empty: there is none
	Node       string              `toml:"node"`    // who this instance is to it; empty: name
	Cluster    string              `toml:"cluster"`
	CA         string              `toml:"ca"`   // files, PEM: by whom the service is vouched for,
	Cert       string              `toml:"cert"` // and what this instance shows
	Key        string              `toml:"key"`
	ServerName string              `toml:"server_name"` // in the service's certificate; empty: the host of address
	Plaintext  bool                `toml:"plaintext"`   // on loopback, without TLS
	State      string              `toml:"state"`       // a folder where good versions are kept
	Pin        []string            `toml:"pin"`         // what of the file no version replaces: "table", "table.key", "list.name"
	Trial      stricttoml.Duration `toml:"trial"`       // how long a version is on trial; 0 is not at all
	Margin     float64             `toml:"trial_margin"`
	Alpha      float64             `toml:"trial_alpha"`
	Gap        stricttoml.Duration `toml:"gap"`
	SizeMost   stricttoml.Size     `toml:"size_most"`
	RetryMost  stricttoml.Duration `toml:"retry_most"`
}

// Tries says whether versions are on trial before they count as good.
func (c *Control) Tries() bool { return (c.Address != "" || c.State != "") && c.Trial.Duration > 0 }

// Connections bounds the connections to clients and endpoints.
type Connections struct {
	Clients   int                 `toml:"clients"`
	AtRest    int                 `toml:"at_rest"`
	RestMost  stricttoml.Duration `toml:"rest_most"`
	RestLeast stricttoml.Duration `toml:"rest_least"`
	Endpoints int                 `toml:"endpoints"`
}

// Requests bounds what the instance takes on.
type Requests struct {
	Open          int `toml:"open"`
	InFlight      int `toml:"in_flight"` // 0 is learned
	InFlightLeast int `toml:"in_flight_least"`
	InFlightMost  int `toml:"in_flight_most"`
}
