package main

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunlinsail/internal/fake/require"
)

// TestMain runs the program instead of the tests in a process that a test has started from this test binary.
func TestMain(m *testing.M) {
	if os.Getenv("ROUTER_CONFIG") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// sidecarConfig is the configuration of a sidecar with one endpoint, on which nothing listens.
const sidecarConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
	"known":{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}]},
	"settings":{"peers-total":1,"areas":["a"],"skus":["m1"],"discovery":"automatic",
	"classes":[{"name":"look","repeat":"pure","target":500000,"give-up":1000000,"credit":1.0}],
	"contract":{"drain-grace":250000,"cold-from":0.2,"ramp-time":10000000,"fall-multiple":2.5,
	"overload-for":2000000,"ask-within":10000000},
	"limits":{"cancel":true,"most-tries":3,"most-held":1000,"dial-timeout":1000000,"keepalive":15000000}}}`

// The program links only the standard library and this project, because a sidecar must fit into a few megabytes of
// memory.
func TestLinksNoLibrary(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", "{{with .Module}}{{.Path}}{{end}}", ".").Output()
	require.NoError(t, err)
	for _, module := range strings.Fields(string(out)) {
		if module != "dunlinsail" {
			t.Errorf("the program links module %s", module)
		}
	}
}

// SIGHUP does not end the program, whether the configuration file is valid or malformed at that time. SIGTERM ends
// the program with exit code 0.
func TestSignals(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	listener.Close()
	configPath := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(configPath, []byte(sidecarConfig), 0o600))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+configPath, "ROUTER_LISTEN="+addr)
	cmd.Stderr = os.Stderr
	require.NoError(t, cmd.Start())
	defer cmd.Process.Kill()
	awaitReady := func() {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
			if resp, err := http.Get("http://" + addr + "/-/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					return
				}
			}
		}
		t.Fatal("not ready")
	}
	awaitReady()
	for _, configText := range []string{sidecarConfig, "{"} {
		require.NoError(t, os.WriteFile(configPath, []byte(configText), 0o600))
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
		awaitReady()
	}
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	if err := cmd.Wait(); err != nil {
		t.Error("after SIGTERM:", err)
	}
}
