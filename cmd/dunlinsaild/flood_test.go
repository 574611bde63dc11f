package main

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/floodclient"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/fake/slowclients"
)

// floodMemoryMB is the memory limit of a daemon that is flooded, in MiB.
const floodMemoryMB = 128

// floodClasses are the classes of the requests in a flood.
const floodClasses = `
[[class]]
name = "look"
repeat = "safe"
aim = "500ms"
give_up = "1s"
[[class]]
name = "pay"
repeat = "unsafe"
aim = "500ms"
give_up = "1s"
`

// floodedProcess returns the beginning of the configuration of a daemon that is flooded.
func floodedProcess(addr string, cores int) string {
	return fmt.Sprintf(`
[process]
cores = %d
memory = "%dMiB"
descriptors = 512
[[listener]]
name = "desk"
address = %q
client = "desk"
[[client]]
name = "desk"
`, cores, floodMemoryMB, addr) + floodClasses
}

// floodedByClass returns the configuration of a daemon that serves requests by class.
func floodedByClass(t *testing.T, addr string, cores int) string {
	t.Helper()
	server, err := discoveryserver.Start(scripteddiscovery.Up("s-0", floodclient.StartEndpoint(t)),
		scripteddiscovery.Up("s-1", floodclient.StartEndpoint(t)))
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return fmt.Sprintf("[discovery]\naddress = %q\n", server.Addr) + floodedProcess(addr, cores)
}

// floodedByRoute returns the configuration of a daemon that serves requests by routes.
func floodedByRoute(t *testing.T, addr string, cores int) string {
	t.Helper()
	return floodedProcess(addr, cores) + fmt.Sprintf(`
[[pool]]
name = "app"
endpoints = [%q, %q]
[[route]]
path = "/look/*"
pool = "app"
class = "look"
id = "header:X-Trace-Id"
deadline = "header:X-Expires-In-Ms"
[[route]]
path = "/pay/*"
pool = "app"
class = "pay"
`, floodclient.StartEndpoint(t), floodclient.StartEndpoint(t))
}

// Guards against clients that get their answers late or never while others send small or malformed requests at full
// speed, and against memory that grows meanwhile.
func TestFloodStarvesNoOtherClient(t *testing.T) {
	floodDaemon(t, slices.DeleteFunc(floodclient.Kinds(), floodclient.Kind.IsUpload))
}

// Guards against clients that are rejected because the uploads of others have no end.
func TestUploadsWithoutEndRejectNoOtherClient(t *testing.T) {
	floodDaemon(t, []floodclient.Kind{floodclient.ShortChunks, floodclient.Uploads})
}

// floodDaemon checks another client beside a flood of each kind, by class and by route, with one core and with all.
func floodDaemon(t *testing.T, kinds []floodclient.Kind) {
	t.Helper()
	settings := []struct {
		name   string
		config func(t *testing.T, addr string, cores int) string
		cores  int // 0 is all
	}{
		{"by class, one core", floodedByClass, 1},
		{"by route, one core", floodedByRoute, 1},
		{"by route, all cores", floodedByRoute, 0},
	}
	program := floodclient.BuildProgram(t)
	for _, setting := range settings {
		for _, kind := range kinds {
			t.Run(setting.name+", "+kind.String(), func(t *testing.T) {
				addr := scriptedpeer.ClosedAddress(t)
				daemon := startProgram(t, program, writeConfig(t, setting.config(t, addr, setting.cores)))
				server := floodclient.ServerProcess{
					Addr:      addr,
					PID:       daemon.cmd.Process.Pid,
					MaxMemory: floodMemoryMB << 20,
					SafeClass: "look",
				}
				floodclient.CheckFlooded(t, server, floodclient.Options{Kind: kind, UnsafeClass: "pay"})
				if t.Failed() {
					daemon.cmd.Process.Kill()
					<-daemon.exited
					t.Log(daemon.log.String())
				}
			})
		}
	}
}

// slowServedPercent is the part of another client's requests that has to be served beside slow clients (page FLEET, the
// gate).
const slowServedPercent = 50

// slowClients is how many slow clients are connected at once, of the 240 that 512 descriptors allow.
const slowClients = 160

// Guards against a process that exceeds its memory limit, or answers late, while hundreds of clients write or read
// slowly or have stopped.
func TestSlowClientsInLittleMemory(t *testing.T) {
	program := floodclient.BuildProgram(t)
	for name, config := range map[string]func(*testing.T, string, int) string{
		"by class": floodedByClass,
		"by route": floodedByRoute,
	} {
		for _, kind := range slowclients.Kinds() {
			t.Run(name+", "+kind.String(), func(t *testing.T) {
				addr := scriptedpeer.ClosedAddress(t)
				daemon := startProgram(t, program, writeConfig(t, config(t, addr, 1)))
				server := floodclient.ServerProcess{
					Addr:      addr,
					PID:       daemon.cmd.Process.Pid,
					MaxMemory: floodMemoryMB << 20,
					SafeClass: "look",
				}
				server.CheckOtherClient(t, slowServedPercent, func(ctx context.Context) {
					slowclients.Run(ctx, slowclients.Options{
						Addr:        addr,
						Kind:        kind,
						Connections: slowClients,
						SafeClass:   server.SafeClass,
						UnsafeClass: "pay",
					})
				})
			})
		}
	}
}
