// Package platform reads the configuration that the platform gives a sidecar (DEPLOY): JSON in the file that
// ROUTER_CONFIG names, and ROUTER_ variables, which take precedence over it.
//
// The names of keys and variables are the platform's. Those of the file are tags here, and those of the variables are
// constants; the settings' keys are mapped to package balancer in package wire, whose text form they are converted to.
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
	// Name identifies the sidecar: key name, ROUTER_NAME. Default "".
	Name string

	// Listen is host:port where clients connect: key listen, ROUTER_LISTEN. It is required.
	Listen string

	// Discovery is host:port of the discovery service: key discovery, ROUTER_DISCOVERY. It is required. FileDiscovery
	// is that of the file alone.
	Discovery     string
	FileDiscovery string

	// AdminAddress is host:port of the operators' calls: key operator, ROUTER_OPERATOR; "", the default, turns them
	// off.
	AdminAddress string

	// InheritedFD is the descriptor, 3 at least, of the clients' listening socket where the platform holds it:
	// ROUTER_INHERITED_FD; 0, the default, is none.
	InheritedFD int

	// SharedDir is a folder that a new process of this sidecar shares with its predecessor: TMPDIR, with InheritedFD
	// only; "" is none.
	SharedDir string

	// OverloadControl turns overload control for the whole fleet on: ROUTER_OVERLOAD, "1" or "0", the default.
	OverloadControl bool

	// Seed is the seed of random draws: key seed, hexadecimal. It is required.
	Seed uint64

	// MemoryMB is the memory limit in MiB: key limits.memory_mb, default 192, positive.
	MemoryMB int

	// Sockets is the limit of file descriptors: key limits.sockets, default 1024, at least MinSockets.
	Sockets int

	// Known is the endpoint list at the start: key known; without it the generation is discovery.NoGeneration.
	Known discovery.List

	// Site holds the settings of the decision packages: key settings. It is required.
	Site siteconfig.Site

	// Events receives the events of calls to endpoints and discovery (package eventlog): standard error with
	// ROUTER_EVENTS "1"; nil with "0", the default, turns them off.
	Events io.Writer
}

// ConfigError is an invalid value of the configuration.
type ConfigError struct {
	Key string // of the file, dotted, or the name of a variable
	Err error
}

// Error returns the key and the reason.
func (e *ConfigError) Error() string { return "configuration: " + e.Key + ": " + e.Err.Error() }

// Unwrap returns Err.
func (e *ConfigError) Unwrap() error { return e.Err }

const (
	defaultMemoryMB  = 192
	defaultSockets   = 1024
	defaultKeepAlive = 15 * time.Second
)

// MinSockets is the least value of Config.Sockets.
const MinSockets = 64

// The names of the platform's variables.
const (
	varConfig      = "ROUTER_CONFIG"
	varName        = "ROUTER_NAME"
	varListen      = "ROUTER_LISTEN"
	varDiscovery   = "ROUTER_DISCOVERY"
	varAdmin       = "ROUTER_OPERATOR"
	varInheritedFD = "ROUTER_INHERITED_FD"
	varEvents      = "ROUTER_EVENTS"
	varOverload    = "ROUTER_OVERLOAD"
	varSharedDir   = "TMPDIR"
)

// firstInheritedFD is the first descriptor behind the standard streams.
const firstInheritedFD = 3

// Read reads the file named by ROUTER_CONFIG and applies the variables. getenv returns the value of a variable, "" for
// none.
func Read(getenv func(string) string) (*Config, error) {
	path := getenv(varConfig)
	if path == "" {
		return nil, &ConfigError{varConfig, errors.New("is not set")}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{varConfig, err}
	}
	c, err := Parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// configFile is the form of the file.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Admin     string `json:"operator"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB *int `json:"memory_mb"`
		Sockets  *int `json:"sockets"`
	} `json:"limits"`
	Known    *discovery.List `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Parse parses the text of a file and applies the variables. Its error is a *ConfigError.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, &ConfigError{cmp.Or(keyOfTypeError(err), "file"), err}
	}
	c := &Config{
		Name:          file.Name,
		Listen:        file.Listen,
		Discovery:     file.Discovery,
		FileDiscovery: file.Discovery,
		AdminAddress:  file.Admin,
		MemoryMB:      defaultMemoryMB,
		Sockets:       defaultSockets,
	}
	if err := c.applyVariables(getenv); err != nil {
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
	// Without a list in the file, the endpoints of the first list from discovery count as started long ago. With an
	// empty one they would count as just started, and warm up.
	c.Known = discovery.List{Generation: discovery.NoGeneration}
	if file.Known != nil {
		c.Known = *file.Known
	}
	if len(file.Settings) == 0 {
		return nil, &ConfigError{"settings", errors.New("is missing")}
	}
	return c, c.parseSettings(file.Settings)
}

// keyOfTypeError returns the key whose value has a wrong type of JSON; "" for another error, or the complete text.
func keyOfTypeError(err error) string {
	if typeErr := (*json.UnmarshalTypeError)(nil); errors.As(err, &typeErr) {
		return typeErr.Field
	}
	return ""
}

// applyVariables applies the variables.
func (c *Config) applyVariables(getenv func(string) string) error {
	for name, value := range map[string]*string{
		varName:      &c.Name,
		varListen:    &c.Listen,
		varDiscovery: &c.Discovery,
		varAdmin:     &c.AdminAddress,
	} {
		if v := getenv(name); v != "" {
			*value = v
		}
	}
	if v := getenv(varInheritedFD); v != "" {
		fd, err := strconv.Atoi(v)
		if err != nil || fd < firstInheritedFD {
			return &ConfigError{varInheritedFD, fmt.Errorf("%q is no descriptor from 3 on", v)}
		}
		c.InheritedFD = fd
		c.SharedDir = getenv(varSharedDir)
	}
	events, err := parseOnOff(getenv, varEvents)
	if err != nil {
		return err
	}
	if events {
		c.Events = os.Stderr
	}
	c.OverloadControl, err = parseOnOff(getenv, varOverload)
	return err
}

// parseOnOff returns the value of a variable that is "1" for on, and "0" or not set for off.
func parseOnOff(getenv func(string) string, name string) (bool, error) {
	switch v := getenv(name); v {
	case "", "0":
		return false, nil
	case "1":
		return true, nil
	default:
		return false, &ConfigError{name, fmt.Errorf("%q is neither 0 nor 1", v)}
	}
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

// settingsNames is the part of the settings that package wire does not read: names, and what only the sockets need.
type settingsNames struct {
	Zones   []string `json:"areas"`
	Kinds   []string `json:"skus"`
	Classes []struct {
		Name string `json:"name"`
	} `json:"classes"`
	Tenants []struct {
		Name string `json:"name"`
	} `json:"tenants"`
	LoadReports struct {
		Fields []string `json:"fields"`
		Source string   `json:"how"` // wire.NoReports, ReportsOnProbes or ReportsOnRequests
	} `json:"reporting"`
	Limits struct {
		KeepAlive monotime.Micros `json:"keepalive"`
	} `json:"limits"`
}

// parseSettings reads the settings twice: as the simulator's text, by the parser of package wire, and for the names
// that only the sockets need.
func (c *Config) parseSettings(raw json.RawMessage) error {
	var names settingsNames
	if err := json.Unmarshal(raw, &names); err != nil {
		key := "settings"
		if field := keyOfTypeError(err); field != "" {
			key += "." + field
		}
		return &ConfigError{key, err}
	}
	text, err := settingsText(raw)
	if err != nil {
		return &ConfigError{"settings", err}
	}
	settings, err := wire.ParseSettings(text)
	if err == nil {
		err = settings.Validate()
	}
	if err != nil {
		return &ConfigError{"settings", err} // its message names the key
	}
	c.Site.Settings = settings
	return c.setNames(&names)
}

// setNames sets the site's names. Each class must have one.
func (c *Config) setNames(names *settingsNames) error {
	site := &c.Site
	site.Zones = names.Zones
	site.Kinds = names.Kinds
	for i, class := range names.Classes {
		if class.Name == "" {
			return &ConfigError{fmt.Sprintf("settings.classes.%d.name", i), errors.New("is missing")}
		}
		site.Classes = append(site.Classes, class.Name)
	}
	for _, tenant := range names.Tenants {
		site.Tenants = append(site.Tenants, tenant.Name)
	}
	if names.LoadReports.Source != wire.NoReports {
		site.LoadReportFields = names.LoadReports.Fields
	}
	site.ReportsOnResponses = names.LoadReports.Source == wire.ReportsOnRequests
	site.KeepAlive = time.Duration(names.Limits.KeepAlive) * time.Microsecond
	if site.KeepAlive <= 0 {
		site.KeepAlive = defaultKeepAlive
	}
	return nil
}

// settingsText converts the settings to the simulator's text: a line key=value for each plain value or list of them,
// and a line key.count for each list of objects.
func settingsText(raw json.RawMessage) (string, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	var lines settingsLines
	for key, v := range tree {
		lines.add(key, v)
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n"), nil
}

// settingsLines are the lines of the settings in the simulator's text.
type settingsLines []string

// add adds the lines of a value and all below it.
func (s *settingsLines) add(key string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, item := range v {
			s.add(key+"."+k, item)
		}
	case []any:
		s.addList(key, v)
	case nil:
	default:
		*s = append(*s, key+"="+settingsValue(v))
	}
}

// addList adds the lines of a list: of objects, if the first item is one, or of plain values.
func (s *settingsLines) addList(key string, list []any) {
	if len(list) > 0 {
		if _, isObject := list[0].(map[string]any); isObject {
			*s = append(*s, fmt.Sprintf("%s.count=%d", key, len(list)))
			for i, item := range list {
				s.add(key+"."+strconv.Itoa(i), item)
			}
			return
		}
	}
	values := make([]string, len(list))
	for i, item := range list {
		values[i] = settingsValue(item)
	}
	*s = append(*s, key+"="+strings.Join(values, ","))
}

// settingsValue returns a value in the simulator's text, in which commas and line ends separate values.
func settingsValue(v any) string {
	return strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_").Replace(fmt.Sprint(v))
}
