// Package platform reads the configuration that the platform provides for a sidecar (page DEPLOY): JSON in the
// file that ROUTER_CONFIG names, and environment variables with the prefix ROUTER_, which take precedence over
// the file.
//
// The platform defines the names of keys and variables. The keys of the file are struct tags in this package, and
// the variables are constants. The keys under settings are converted to the simulator's text format, which
// package wire maps to the settings of package balancer.
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
	// Name identifies the sidecar: key name, ROUTER_NAME. The default is "".
	Name string

	// Listen is the address (host:port) to which clients connect: key listen, ROUTER_LISTEN. It is required.
	Listen string

	// Discovery is the address (host:port) of the discovery service: key discovery, ROUTER_DISCOVERY. It is
	// required. FileDiscovery is the value of the key, even if the variable is set.
	Discovery     string
	FileDiscovery string

	// AdminAddress is the address (host:port) of the admin server: key operator, ROUTER_OPERATOR. The default,
	// "", turns the admin server off.
	AdminAddress string

	// InheritedFD is the descriptor, at least 3, of a listening socket for clients that the platform has opened:
	// ROUTER_INHERITED_FD. The default, 0, means that there is none.
	InheritedFD int

	// SharedDir is a directory that a new process of this sidecar shares with its predecessor: TMPDIR. It is set
	// only together with InheritedFD; "" means that there is none.
	SharedDir string

	// OverloadControl turns on fleet-wide overload control: ROUTER_OVERLOAD, "1" or "0". The default is "0".
	OverloadControl bool

	// Seed is the seed of the random number generators: key seed, hexadecimal. It is required.
	Seed uint64

	// MemoryMB is the memory limit in MiB: key limits.memory_mb, positive. The default is 192.
	MemoryMB int

	// Sockets is the limit of file descriptors: key limits.sockets, at least MinSockets. The default is 1024.
	Sockets int

	// InitialList is the endpoint list at the start of the process: key known. Without the key its generation is
	// discovery.NoGeneration.
	InitialList discovery.List

	// Site contains the settings of the decision packages: key settings. It is required.
	Site siteconfig.Site

	// Events receives the log of calls to endpoints and discovery (package eventlog): ROUTER_EVENTS. It is
	// standard error with "1", and nil, which turns the log off, with "0", the default.
	Events io.Writer
}

// ConfigError reports an invalid or missing value of the configuration.
type ConfigError struct {
	Key string // dotted key in the file, or name of a variable
	Err error
}

// Error returns the key and the text of Err.
func (e *ConfigError) Error() string { return "configuration: " + e.Key + ": " + e.Err.Error() }

// Unwrap returns Err.
func (e *ConfigError) Unwrap() error { return e.Err }

const (
	defaultMemoryMB  = 192
	defaultSockets   = 1024
	defaultKeepAlive = 15 * time.Second
)

// MinSockets is the smallest valid value of Config.Sockets.
const MinSockets = 64

// Names of the environment variables that the platform sets.
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

// firstInheritedFD is the first descriptor after the standard streams.
const firstInheritedFD = 3

// Read reads the configuration file that ROUTER_CONFIG names, and applies the environment variables. getenv
// returns the value of a variable, or "" if it is not set.
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

// configFile is the structure of the configuration file.
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

// Parse parses the text of a configuration file and applies the environment variables. Its error is a *ConfigError.
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
	// If the file contains no list, the endpoints of the first list from discovery count as started long ago.
	// After an empty list they would count as just started and would go through warm-up.
	c.InitialList = discovery.List{Generation: discovery.NoGeneration}
	if file.Known != nil {
		c.InitialList = *file.Known
	}
	if len(file.Settings) == 0 {
		return nil, &ConfigError{"settings", errors.New("is missing")}
	}
	return c, c.parseSettings(file.Settings)
}

// keyOfTypeError returns the dotted key whose value has the wrong JSON type. It returns "" for any other error,
// or if the type of the top-level value is wrong.
func keyOfTypeError(err error) string {
	if typeErr := (*json.UnmarshalTypeError)(nil); errors.As(err, &typeErr) {
		return typeErr.Field
	}
	return ""
}

// applyVariables sets the fields for which environment variables are set.
func (c *Config) applyVariables(getenv func(string) string) error {
	for variable, value := range map[string]*string{
		varName:      &c.Name,
		varListen:    &c.Listen,
		varDiscovery: &c.Discovery,
		varAdmin:     &c.AdminAddress,
	} {
		if v := getenv(variable); v != "" {
			*value = v
		}
	}
	if v := getenv(varInheritedFD); v != "" {
		fd, err := strconv.Atoi(v)
		if err != nil || fd < firstInheritedFD {
			return &ConfigError{varInheritedFD, fmt.Errorf("%q is not a descriptor of at least 3", v)}
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

// parseOnOff returns the value of a variable that is "1" for true, and "0" or not set for false.
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

// checkAddresses returns an error if an address does not have the form host:port.
func (c *Config) checkAddresses() error {
	for _, setting := range []struct{ key, address string }{
		{"listen", c.Listen},
		{"discovery", c.Discovery},
		{"discovery", cmp.Or(c.FileDiscovery, c.Discovery)},
		{"operator", cmp.Or(c.AdminAddress, c.Listen)},
	} {
		if _, _, err := net.SplitHostPort(setting.address); err != nil {
			return &ConfigError{setting.key, err}
		}
	}
	return nil
}

// applyLimits sets MemoryMB and Sockets from the file, if it contains them.
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
			return &ConfigError{"limits.sockets", fmt.Errorf("%d is less than %d", *v, MinSockets)}
		}
	}
	return nil
}

// settingsNames is the part of the settings that package wire does not read: names, and the settings that only
// the network code needs.
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
		Source string   `json:"how"` // wire.NoReports, wire.ReportsOnProbes or wire.ReportsOnRequests
	} `json:"reporting"`
	Limits struct {
		KeepAlive monotime.Micros `json:"keepalive"`
	} `json:"limits"`
}

// parseSettings sets Site from the settings. They are parsed twice: as JSON for settingsNames, and converted to the
// simulator's text format for the parser of package wire.
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
		return &ConfigError{"settings", err} // the text of err names the key
	}
	c.Site.Settings = settings
	return c.setNames(&names)
}

// setNames sets the fields of Site that package wire does not read. It returns an error if a class has no name.
func (c *Config) setNames(settings *settingsNames) error {
	site := &c.Site
	site.Zones = settings.Zones
	site.MachineTypes = settings.Kinds
	for i, class := range settings.Classes {
		if class.Name == "" {
			return &ConfigError{fmt.Sprintf("settings.classes.%d.name", i), errors.New("is missing")}
		}
		site.Classes = append(site.Classes, class.Name)
	}
	for _, tenant := range settings.Tenants {
		site.Tenants = append(site.Tenants, tenant.Name)
	}
	if settings.LoadReports.Source != wire.NoReports {
		site.LoadReportFields = settings.LoadReports.Fields
	}
	site.ReportsOnResponses = settings.LoadReports.Source == wire.ReportsOnRequests
	site.KeepAlive = time.Duration(settings.Limits.KeepAlive) * time.Microsecond
	if site.KeepAlive <= 0 {
		site.KeepAlive = defaultKeepAlive
	}
	return nil
}

// settingsText converts the settings from JSON to the simulator's text format: a line key=value for each plain
// value or list of plain values, and a line key.count=N for each list of N objects.
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

// settingsLines are lines of settings in the simulator's text format.
type settingsLines []string

// add appends the lines of a value and of all values that it contains.
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

// addList appends the lines of a list. The items are objects if the first item is an object, and otherwise plain
// values.
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

// settingsValue returns a plain value in the simulator's text format. Spaces, commas and line ends, some of which
// separate values in that format, are replaced by underscores.
func settingsValue(v any) string {
	return strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_").Replace(fmt.Sprint(v))
}
