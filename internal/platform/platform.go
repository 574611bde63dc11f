// Package platform reads the configuration that the platform gives a sidecar (DEPLOY): JSON in the file that
// ROUTER_CONFIG names, with ROUTER_ variables before it.
package platform

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/wire"
)

// Config is a sidecar's configuration.
type Config struct {
	Name            string
	Listen          string // where clients connect
	Discovery       string
	AdminAddress    string // where operators call; "" is nowhere
	InheritedFD     int    // the descriptor of the clients' listening socket, where the platform holds it; 0 is none
	SharedDir       string // a folder that a new version of this sidecar shares with the old one; "" is none
	OverloadControl bool   // what the fleet's overload leaves is decided with the other instances in mind
	Seed            uint64
	MemoryMB        int
	Sockets         int // file descriptors
	Known           discovery.List
	Site            siteconfig.Site

	FileDiscovery string    // as the file alone names it
	Events        io.Writer // of calls to endpoints and discovery (package eventlog); nil is nowhere
}

// ConfigError names the part of the configuration that makes no sense.
type ConfigError struct {
	Key string
	Err error
}

// Error names the key.
func (e *ConfigError) Error() string { return "configuration: " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *ConfigError) Unwrap() error { return e.Err }

const (
	defaultMemoryMB  = 192
	defaultSockets   = 1024
	defaultKeepAlive = 15 * time.Second
)

// MinSockets is how few descriptors a sidecar may be given.
const MinSockets = 64

// Read reads the file named by ROUTER_CONFIG. The other ROUTER_ variables, where set, go before it.
func Read(getenv func(string) string) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, &ConfigError{"ROUTER_CONFIG", errors.New("is not set")}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{"ROUTER_CONFIG", err}
	}
	c, err := Parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// configFile is the configuration file.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB *int `json:"memory_mb"`
		Sockets  *int `json:"sockets"`
	} `json:"limits"`
	Known    *discovery.List `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Parse parses the text of a configuration. Its errors are of type *ConfigError and name the key.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		key := "file"
		if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) && wrong.Field != "" {
			key = wrong.Field
		}
		return nil, &ConfigError{key, err}
	}
	c := &Config{
		Name:          file.Name,
		Listen:        file.Listen,
		Discovery:     file.Discovery,
		FileDiscovery: file.Discovery,
		AdminAddress:  file.Operator,
		MemoryMB:      defaultMemoryMB,
		Sockets:       defaultSockets,
	}
	if err := c.applyEnvironment(getenv); err != nil {
		return nil, err
	}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, &ConfigError{"seed", err}
	}
	if err := c.applyLimits(&file); err != nil {
		return nil, err
	}
	// Without a list in the file, the first one that comes names endpoints that have long been there: an empty one
	// would make all endpoints look just started, and warming up.
	c.Known = discovery.List{Generation: discovery.NoGeneration}
	if file.Known != nil {
		c.Known = *file.Known
	}
	if len(file.Settings) == 0 {
		return nil, &ConfigError{"settings", errors.New("is missing")}
	}
	return c, c.parseSettings(file.Settings)
}

// applyEnvironment applies the ROUTER_ variables, which go before the file.
func (c *Config) applyEnvironment(getenv func(string) string) error {
	for name, to := range map[string]*string{
		"ROUTER_NAME":      &c.Name,
		"ROUTER_LISTEN":    &c.Listen,
		"ROUTER_DISCOVERY": &c.Discovery,
		"ROUTER_OPERATOR":  &c.AdminAddress,
	} {
		if v := getenv(name); v != "" {
			*to = v
		}
	}
	if v := getenv("ROUTER_INHERITED_FD"); v != "" {
		fd, err := strconv.Atoi(v)
		if err != nil || fd < 3 {
			return &ConfigError{"ROUTER_INHERITED_FD", fmt.Errorf("%q is no descriptor from 3 on", v)}
		}
		c.InheritedFD = fd
		c.SharedDir = getenv("TMPDIR")
	}
	switch v := getenv("ROUTER_EVENTS"); v {
	case "", "0":
	case "1":
		c.Events = os.Stderr
	default:
		return &ConfigError{"ROUTER_EVENTS", fmt.Errorf("%q is neither 0 nor 1", v)}
	}
	switch v := getenv("ROUTER_OVERLOAD"); v {
	case "", "0", "1":
		c.OverloadControl = v == "1"
	default:
		return &ConfigError{"ROUTER_OVERLOAD", fmt.Errorf("%q is neither 0 nor 1", v)}
	}
	return nil
}

// checkAddresses checks that each address has a host and a port.
func (c *Config) checkAddresses() error {
	for _, a := range []struct{ key, address string }{
		{"listen", c.Listen},
		{"discovery", c.Discovery},
		{"discovery", cmp.Or(c.FileDiscovery, c.Discovery)},
		{"operator", cmp.Or(c.AdminAddress, c.Listen)},
	} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return &ConfigError{a.key, err}
		}
	}
	return nil
}

// applyLimits applies the file's limits of memory and descriptors.
func (c *Config) applyLimits(file *configFile) error {
	if v := file.Limits.MemoryMB; v != nil {
		c.MemoryMB = *v
		if *v < 1 {
			return &ConfigError{"limits.memory_mb", fmt.Errorf("%d is not positive", *v)}
		}
	}
	if v := file.Limits.Sockets; v != nil {
		c.Sockets = *v
		if *v < MinSockets {
			return &ConfigError{"limits.sockets", fmt.Errorf("%d is under %d", *v, MinSockets)}
		}
	}
	return nil
}

// parseSettings reads the settings twice: as the simulator's text, by the parser that the simulator's host uses,
// and for the names that only the sockets need.
func (c *Config) parseSettings(raw json.RawMessage) error {
	var names struct {
		Areas   []string `json:"areas"`
		Skus    []string `json:"skus"`
		Classes []struct {
			Name string `json:"name"`
		} `json:"classes"`
		Tenants []struct {
			Name string `json:"name"`
		} `json:"tenants"`
		Reporting struct {
			Fields []string `json:"fields"`
			How    string   `json:"how"`
		} `json:"reporting"`
		Limits struct {
			KeepAlive monotime.Micros `json:"keepalive"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(raw, &names); err != nil {
		key := "settings"
		if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) && wrong.Field != "" {
			key += "." + wrong.Field
		}
		return &ConfigError{key, err}
	}
	text, err := settingsText(raw)
	if err != nil {
		return &ConfigError{"settings", err}
	}
	to := &c.Site
	if to.Settings, err = wire.ParseSettings(text); err == nil {
		err = to.Settings.Validate()
	}
	if err != nil {
		return &ConfigError{"settings", err} // its message names the key
	}
	to.Zones = names.Areas
	to.Kinds = names.Skus
	for i, class := range names.Classes {
		if class.Name == "" {
			return &ConfigError{fmt.Sprintf("settings.classes.%d.name", i), errors.New("is missing")}
		}
		to.Classes = append(to.Classes, class.Name)
	}
	for _, t := range names.Tenants {
		to.Tenants = append(to.Tenants, t.Name)
	}
	if names.Reporting.How != "none" {
		to.LoadReportFields = names.Reporting.Fields
	}
	to.ReportsOnResponses = names.Reporting.How == "answers"
	if to.KeepAlive = time.Duration(names.Limits.KeepAlive) * time.Microsecond; to.KeepAlive <= 0 {
		to.KeepAlive = defaultKeepAlive
	}
	return nil
}

// settingsText turns the settings object into the simulator's text: a line path=value for each plain value.
func settingsText(raw json.RawMessage) (string, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil && err != io.EOF {
		return "", err
	}
	var lines []string
	var walk func(path string, v any)
	walk = func(path string, v any) {
		switch v := v.(type) {
		case map[string]any:
			for k, item := range v {
				walk(path+"."+k, item)
			}
		case []any:
			if len(v) > 0 {
				if _, object := v[0].(map[string]any); object {
					lines = append(lines, fmt.Sprintf("%s.count=%d", path[1:], len(v)))
					for i, item := range v {
						walk(path+"."+strconv.Itoa(i), item)
					}
					return
				}
			}
			words := make([]string, len(v))
			for i, item := range v {
				words[i] = settingsValue(item)
			}
			lines = append(lines, path[1:]+"="+strings.Join(words, ","))
		case nil:
		default:
			lines = append(lines, path[1:]+"="+settingsValue(v))
		}
	}
	walk("", tree)
	sort.Strings(lines)
	return strings.Join(lines, "\n"), nil
}

// settingsValue writes a value as the text form does, where commas and ends of lines separate.
func settingsValue(v any) string {
	return strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_").Replace(fmt.Sprint(v))
}
