// Package config reads and validates the configuration file of the daemon. The file is strict TOML: unknown keys,
// invalid values and contradictions are errors with key, line and reason, and all errors are reported at once. The
// package also combines a file with the resources of a configuration version from the control plane. Package daemon
// applies a configuration; this package must not import it.
package config

import (
	"os"
	"reflect"

	"dunlinsail/internal/decide/route"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/stricttoml"
)

// Config is the configuration of a daemon. The struct tags are the keys of the file; the field names are the terms
// of the glossary.
type Config struct {
	// Name identifies the instance in its log and to its peers. The default is "dunlinsaild".
	Name string `toml:"name"`

	Process      Process      `toml:"process"`
	Discovery    Discovery    `toml:"discovery"`
	Takeover     Takeover     `toml:"takeover"`
	Admin        Admin        `toml:"operators"`
	AccessLog    AccessLog    `toml:"record"`
	ControlPlane ControlPlane `toml:"control"`

	Connections  Connections   `toml:"connections"`
	Requests     Requests      `toml:"requests"`
	Listeners    []Listener    `toml:"listener"`
	Clients      []Client      `toml:"client"`
	OtherClients *ClientLimits `toml:"others"` // shared by clients without an entry; if nil, these are rejected

	Fleet       Fleet       `toml:"fleet"`
	Classes     []Class     `toml:"class"`
	Tenants     []Tenant    `toml:"tenant"`
	Attempts    Attempts    `toml:"attempts"`
	Rejections  Rejections  `toml:"refusals"`
	Probes      Probes      `toml:"probes"`
	Overload    Overload    `toml:"overload"`
	Peers       Peers       `toml:"peers"`
	Maintenance Maintenance `toml:"work"`
	Rules       Rules       `toml:"rules"`
	Prices      Prices      `toml:"prices"`
	Goal        Goal        `toml:"goal"`

	Pools  []Pool  `toml:"pool"`
	Routes []Route `toml:"route"`
	Paths  Paths   `toml:"paths"`

	// Text is the text of the file.
	Text []byte `toml:"-"`

	// Table matches a request to its route. It is nil in a file without routes; requests are then routed by class
	// (PROTOCOL).
	Table *route.Table `toml:"-"`

	// Site holds the settings of the decision packages, which are derived from the tables fleet to goal above.
	Site siteconfig.Site `toml:"-"`
}

// Read reads and validates the file at path. If the content is invalid, the error is a stricttoml.Errors.
func Read(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse decodes and validates the text of a file. If the content is invalid, the error is a stricttoml.Errors.
func Parse(text []byte) (*Config, error) {
	c := defaults()
	lines, err := stricttoml.Decode(text, &c)
	if err != nil {
		return nil, err
	}
	c.Text = text
	c.setRouteDefaults()
	c.setDrainTimeout()
	v := &validator{stricttoml.Validation{Lines: lines}}
	v.config(&c)
	if err := v.Err(); err != nil {
		return nil, err
	}
	return &c, nil
}

// TablesNeedingRestart returns the names of the tables that differ between c and next and that a running generation
// cannot change, so that the process has to start a new generation. A running generation can change the limits of
// clients, pools, routes, paths and the address of discovery only.
func (c *Config) TablesNeedingRestart(next *Config) []string {
	var tables []string
	oldConfig := reflect.ValueOf(*c)
	newConfig := reflect.ValueOf(*next)
	for i := range oldConfig.NumField() {
		name := oldConfig.Type().Field(i).Tag.Get("toml")
		oldTable := oldConfig.Field(i).Interface()
		newTable := newConfig.Field(i).Interface()
		switch name {
		case "-", "client", "others", "pool", "route", "paths":
			continue
		case "discovery":
			oldTable = c.Discovery.Mode
			newTable = next.Discovery.Mode
		}
		if !reflect.DeepEqual(oldTable, newTable) {
			tables = append(tables, name)
		}
	}
	if (len(c.Routes) > 0) != (len(next.Routes) > 0) {
		tables = append(tables, "route")
	}
	return tables
}
