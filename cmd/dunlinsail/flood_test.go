package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dunlinsail/internal/fake/floodclient"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/slowclients"
)

// Limits of a sidecar that is flooded.
const (
	floodMemoryMB = 96
	floodSockets  = 512
)

// startDisturbedSidecar starts a sidecar of the given program, with two endpoints and the given limits.
func startDisturbedSidecar(
	t *testing.T, program string, memoryMB, sockets int,
) (p *process, server floodclient.ServerProcess) {
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
	limits := fmt.Sprintf(`{"limits":{"memory_mb":%d,"sockets":%d},`, memoryMB, sockets)
	text = strings.Replace(text, "{", limits, 1)
	h.configPath = filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(h.configPath, []byte(text), 0o600))
	p = h.startProgram(program).awaitReady()
	return p, floodclient.ServerProcess{
		Addr:      h.addr,
		PID:       p.cmd.Process.Pid,
		MaxMemory: memoryMB << 20,
		SafeClass: "look",
	}
}

// Guards against clients that get their answers late or never while others send small or malformed requests at full
// speed, and against memory that grows meanwhile.
func TestFloodStarvesNoOtherClient(t *testing.T) {
	program := floodclient.BuildProgram(t)
	for _, kind := range floodclient.Kinds() {
		t.Run(kind.String(), func(t *testing.T) {
			p, server := startDisturbedSidecar(t, program, floodMemoryMB, floodSockets)
			floodclient.CheckFlooded(t, server, floodclient.Options{Kind: kind, UnsafeClass: "pay"})
			if t.Failed() {
				p.cmd.Process.Kill()
				<-p.exited
				t.Log(p.log.String())
			}
		})
	}
}

// slowServedPercent is the part of another client's requests that has to be served beside slow clients (page FLEET, the
// gate).
const slowServedPercent = 50

// socketsPerSlowClient divides the descriptors of a sidecar to get how many slow clients are connected at once. Half of
// the descriptors are for clients, and some of these must be left for the other client.
const socketsPerSlowClient = 3

// Guards against a process that exceeds its memory limit, or answers late, while hundreds of clients write or read
// slowly or have stopped.
func TestSlowClientsInLittleMemory(t *testing.T) {
	program := floodclient.BuildProgram(t)
	for _, limits := range []struct{ memoryMB, sockets int }{{32, 256}, {48, 1024}, {192, 1024}} {
		for _, kind := range slowclients.Kinds() {
			t.Run(fmt.Sprintf("%d MB, %v", limits.memoryMB, kind), func(t *testing.T) {
				p, server := startDisturbedSidecar(t, program, limits.memoryMB, limits.sockets)
				defer func() {
					if t.Failed() {
						p.cmd.Process.Kill()
						<-p.exited
						t.Log(p.log.String())
					}
				}()
				server.CheckOtherClient(t, slowServedPercent, func(ctx context.Context) {
					slowclients.Run(ctx, slowclients.Options{
						Addr:        server.Addr,
						Kind:        kind,
						Connections: limits.sockets / socketsPerSlowClient,
						SafeClass:   server.SafeClass,
						UnsafeClass: "pay",
					})
				})
			})
		}
	}
}
