package playground

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

func (p *playground) configPath() string { return filepath.Join(p.dir, "playground.toml") }

// routeFormat is a route of the configuration; its arguments are the path's first segment, the pool and the class.
const routeFormat = "[[route]]\npath = \"/%s/*\"\npool = %q\nclass = %q\n" +
	"tenant = \"header:X-Customer\"\n" +
	"key = \"header:Idempotency-Key\"\nid = \"header:X-Trace-Id\"\ndeadline = \"header:X-Expires-In-Ms\"\n"

// configFormat is the daemon's configuration. Its arguments are the discovery's address, the endpoints of the pool
// files, the routes, the takeover socket, the address of the listener desk, and the address of the listener local.
const configFormat = `name = "playground"
[[pool]]
name = "agenda"
discovery = %q
[[pool]]
name = "files"
endpoints = [%s]
%s[takeover]
socket = %q
[[listener]]
name = "desk"
address = %q
client = "desk"
[[listener]]
name = "local"
address = %q
client = "process"
[[client]]
name = "desk"
weight = 2.0
[[client]]
name = "process"
per_process = true
connections = 400
[fleet]
zone = "heredia"
zones = ["heredia", "san-jose", "cartago"]
machines = ["std-2c"]
[[class]]
name = "open-slots"
repeat = "safe"
aim = "250ms"
give_up = "500ms"
worth = 2.0
[[class]]
name = "chair-status"
repeat = "safe"
aim = "200ms"
give_up = "500ms"
worth = 3.0
[[class]]
name = "book"
repeat = "keyed"
group = "cell"
window = "400ms"
aim = "300ms"
give_up = "600ms"
worth = 5.0
[[tenant]]
name = "acme"
allowance = 1000.0
share = 1.0
[probes]
on = true
report = "probe"
fields = ["inflight", "queue"]
[rules]
warm_after = "10s"
[prices]
cross_zone = 0.01
probe = 0.002
`

// config returns the daemon's configuration.
func (p *playground) config() string {
	var files, routes []string
	for _, n := range p.fileEndpoints {
		files = append(files, strconv.Quote(n.Addr))
	}
	for _, r := range [][2]string{
		{"open-slots", "agenda"}, {"chair-status", "agenda"}, {"book", "agenda"}, {"files", "files"},
	} {
		class := r[0]
		if r[1] == "files" {
			class = "chair-status"
		}
		routes = append(routes, fmt.Sprintf(routeFormat, r[0], r[1], class))
	}
	return fmt.Sprintf(configFormat, p.discovery.Addr, strings.Join(files, ", "), strings.Join(routes, ""),
		filepath.Join(p.dir, "takeover.sock"), p.listenAddr, "unix:"+filepath.Join(p.dir, "clients.sock"))
}
