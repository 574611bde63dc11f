// Package config reads and validates the daemon's file: strict TOML, in which unknown keys, invalid values and
// contradictions are errors with key, line and reason, reported all at once. It also combines a file with the
// resources of a version from the control plane. Package daemon applies a configuration; this package must
// not import it.
package config

import (
	"os"
	"reflect"

	"dunlinsail/internal/decide/route"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/stricttoml"
)

// Config is the configuration of a daemon. The tags are the keys of its file; the fields have the terms of the
// glossary.
type Config struct {
	// Name identifies the instance in its log and to its peers: default "dunlinsaild".
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
	OtherClients *ClientLimits `toml:"others"` // of all clients without an entry together; nil rejects them

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

	// Text is the file's text.
	Text []byte `toml:"-"`

	// Table finds the route of a request; nil without routes, where requests are routed by class (PROTOCOL).
	Table *route.Table `toml:"-"`

	// Site holds the settings of the decision packages, made from the tables from fleet on.
	Site siteconfig.Site `toml:"-"`
}

// Read reads and validates a file. An error of its content is stricttoml.Errors.
func Read(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse decodes and validates a file's text. Its error is stricttoml.Errors.
func Parse(text []byte) (*Config, error) {
	c := defaults()
	lines, err := stricttoml.Decode(text, &c)
	if err != nil {
		return nil, err
	}
	c.Text = text
	c.setRouteDefaults()
	v := &validator{stricttoml.Validation{Lines: lines}}
	v.config(&c)
	if err := v.Err(); err != nil {
		return nil, err
	}
	return &c, nil
}

// TablesNeedingRestart returns the tables that differ between two files and that the serving generation cannot change,
// so that a new generation of the same process takes over: all but the limits of clients, pools, routes, paths and the
// address of discovery.
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
