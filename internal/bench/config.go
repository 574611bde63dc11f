package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"dunlinsail/internal/fake/freeport"
)

const fileMode = 0o600

// millisecond is the unit of the platform's settings.
const millisecond = 1000 // microseconds

// object is a JSON object of the platform's configuration, with the names of its page.
type object = map[string]any

// writeSidecarConfig writes a configuration of the platform's sidecar: two classes, one tenant, no probes. Discovery is
// down, so that the list is the one that the file has.
func writeSidecarConfig(dir, listen string, endpoints []string) (path string, err error) {
	closedAddr, err := freeport.Free()
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(object{
		"name": "n0", "listen": listen, "discovery": closedAddr, "seed": "1f",
		"limits":   object{"memory_mb": 192, "sockets": 1024},
		"known":    object{"generation": 1, "reset": true, "instances": platformInstances(endpoints)},
		"settings": platformSettings(),
	})
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, text, fileMode)
}

func platformInstances(endpoints []string) []object {
	instances := []object{}
	for i, addr := range endpoints {
		instances = append(instances, object{
			"instanceId": fmt.Sprint("s-", i), "hostPort": addr, "zone": "a", "machineType": "m1", "cell": 1,
			"lifecycle": "up", "weight": 1,
		})
	}
	return instances
}

func platformSettings() object {
	class := func(name, repeat string) object {
		return object{
			"name": name, "repeat": repeat, "group": "cell", "window": 400 * millisecond, "target": 250 * millisecond,
			"give-up": 500 * millisecond, "credit": 1,
		}
	}
	return object{
		"peers-total": 1, "areas": []string{"a"}, "skus": []string{"m1"}, "discovery": "automatic",
		"classes": []any{class("look", "pure"), class("book", "token")},
		"tenants": []any{object{"name": tenant, "allowance-per-s": 1e5, "share": 1}},
		"contract": object{
			"drain-grace": 250 * millisecond, "cold-from": 0.2, "ramp-time": 10000 * millisecond,
			"fall-multiple": 2.5, "overload-for": 2000 * millisecond, "ask-within": 10000 * millisecond,
		},
		"limits": object{
			"cancel": true, "second-copies": true, "retry-after": true, "most-tries": 3, "most-held": 1000,
			"max-retry-after": 400 * millisecond, "dial-timeout": 1000 * millisecond,
			"keepalive": 15000 * millisecond,
		},
	}
}

// Parts of the daemon's file that two of the configurations have.
const (
	daemonLimits = `descriptors = 8192
`
	lookClass = `[[class]]
name = "look"
repeat = "safe"
aim = "250ms"
give_up = "500ms"
`
	bookingClass = `[[class]]
name = "book"
repeat = "keyed"
group = %q
window = "400ms"
aim = "250ms"
give_up = "500ms"
`
	daemonTenant = `[[tenant]]
name = "acme"
allowance = 100000.0
share = 1.0
`
)

// writeDaemonConfig writes a daemon's file for the same site as writeSidecarConfig's, with pairs of earlier and new
// text. Clients at listen and at the unix socket have the same weight.
func writeDaemonConfig(
	dir, listen, discoveryAddr string, cores int, edits ...string,
) (path string, err error) {
	text := fmt.Sprintf(`[process]
cores = %d
%s[discovery]
address = %q
[takeover]
socket = %q
[connections]
[requests]
open = 5000
[[listener]]
name = "desk"
address = %q
client = "desk"
[[listener]]
name = "local"
address = "unix:%s"
client = "hog"
[[client]]
name = "desk"
[[client]]
name = "hog"
`, cores, daemonLimits, discoveryAddr, filepath.Join(dir, "takeover.sock"), listen, clientSocket(dir))
	text += lookClass + fmt.Sprintf(bookingClass, "cell") + daemonTenant
	path = daemonConfigPath(dir)
	return path, os.WriteFile(path, []byte(strings.NewReplacer(edits...).Replace(text)), fileMode)
}

// daemonConfigPath is the file that writeDaemonConfig writes.
func daemonConfigPath(dir string) string { return filepath.Join(dir, "daemon.toml") }

// clientSocket is the unix socket at which the second client of writeDaemonConfig connects.
func clientSocket(dir string) string { return filepath.Join(dir, "clients.sock") }

// writeRoutedConfig writes a daemon's file with one route to one pool, and further lines of the tables process and
// route.
func writeRoutedConfig(
	dir, listen string, endpoints []string, cores int, process, route string,
) (path string, err error) {
	text := fmt.Sprintf(`[process]
cores = %d
%s%s
[requests]
open = 5000
[[listener]]
address = %q
[[pool]]
name = "app"
endpoints = %s
[[route]]
pool = "app"
%s
`, cores, daemonLimits, process, listen, tomlStrings(endpoints), route)
	path = filepath.Join(dir, "routed.toml")
	return path, os.WriteFile(path, []byte(text), fileMode)
}

// tomlStrings returns an array of strings in TOML.
func tomlStrings(values []string) string { return `["` + strings.Join(values, `", "`) + `"]` }
