package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dunlinsail/internal/fake/floodclient"
	"dunlinsail/internal/fake/require"
)

// floodMemoryMB is the memory limit of a sidecar that is flooded, in MiB.
const floodMemoryMB = 96

// startFloodedSidecar starts a sidecar with two endpoints, and returns its address and its process.
func startFloodedSidecar(t *testing.T) (addr string, p *process) {
	t.Helper()
	h := newHost(t)
	var instances []string
	for i := range 2 {
		address := floodclient.StartEndpoint(t)
		instances = append(instances, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"%s","lifecycle":"up"}`, i, address))
	}
	const placeholder = `{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}`
	const payClass = `{"name":"pay","repeat":"side_effect","target":500000,"give-up":1000000,"credit":5.0},`
	text := strings.Replace(sidecarConfig, placeholder, strings.Join(instances, ","), 1)
	text = strings.Replace(text, `"classes":[`, `"classes":[`+payClass, 1)
	limits := fmt.Sprintf(`{"limits":{"memory_mb":%d,"sockets":512},`, floodMemoryMB)
	text = strings.Replace(text, "{", limits, 1)
	h.configPath = filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(h.configPath, []byte(text), 0o600))
	return h.addr, h.start().awaitReady()
}

// Guards against clients that get their answers late or never while others send small or malformed requests at full
// speed, and against memory that grows meanwhile.
func TestFloodStarvesNoOtherClient(t *testing.T) {
	for _, kind := range floodclient.Kinds() {
		t.Run(kind.String(), func(t *testing.T) {
			addr, p := startFloodedSidecar(t)
			options := floodclient.Options{Addr: addr, Kind: kind, SafeClass: "look", UnsafeClass: "pay"}
			floodclient.CheckOtherClient(t, options, p.cmd.Process.Pid, floodMemoryMB<<20)
			if t.Failed() {
				p.cmd.Process.Kill()
				<-p.exited
				t.Log(p.log.String())
			}
		})
	}
}
