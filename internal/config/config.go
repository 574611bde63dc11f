// Package config reads the daemon's file: TOML, strictly. What is not known, makes no sense or does not fit the
// rest is an error that names key, line and reason; all of them are told at once. It knows the file only: what is
// done with a configuration, package daemon decides.
package config

import (
	"os"
	"reflect"

	"dunlinsail/internal/decide/route"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/stricttoml"
)

// Config is what a daemon is told by its file.
type Config struct {
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
	OtherClients *ClientLimits `toml:"others"`

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

	// Text is the file's, as it was parsed.
	Text []byte `toml:"-"`

	// Table finds the route of a request; nil where there are none, and requests are PROTOCOL's.
	Table *route.Table `toml:"-"`

	// Site is what the decisions are told, made of the tables from fleet on.
	Site siteconfig.Site `toml:"-"`
}

// Read reads and checks a file. An error of what it holds is strict.Errors.
func Read(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse checks a file's text. Its error is strict.Errors.
func Parse(text []byte) (*Config, error) {
	c := defaults()
	lines, err := stricttoml.Decode(text, &c)
	if err != nil {
		return nil, err
	}
	c.Text = text
	c.setRouteDefaults()
	k := &validator{stricttoml.Validation{Lines: lines}}
	k.config(&c)
	if err := k.Err(); err != nil {
		return nil, err
	}
	return &c, nil
}

// Differs returns the tables that differ between two files and cannot be changed while a daemon serves: all but the
// clients' bounds, pools, routes and where discovery is.
func (c *Config) TablesNeedingRestart(next *Config) []string {
	var all []string
	a, b := reflect.ValueOf(*c), reflect.ValueOf(*next)
	for i := range a.NumField() {
		name := a.Type().Field(i).Tag.Get("toml")
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		switch name {
		case "-", "client", "others", "pool", "route", "paths":
			continue
		case "discovery":
			x, y = c.Discovery.Mode, next.Discovery.Mode
		}
		if !reflect.DeepEqual(x, y) {
			all = append(all, name)
		}
	}
	if (len(c.Routes) > 0) != (len(next.Routes) > 0) {
		all = append(all, "route")
	}
	return all
}
