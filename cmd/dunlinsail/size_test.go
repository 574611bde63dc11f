package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
)

// firstPartSize is the number of bytes of a large response that a client reads before it pauses.
const firstPartSize = 64 << 10

// largeResponse is a response of which only the first part has been read, and its connection.
type largeResponse struct {
	conn     net.Conn
	response *http.Response
}

// openLargeResponse sends a request and reads the first part of its response.
func openLargeResponse(addr string) (*largeResponse, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(time.Minute))
	io.WriteString(conn, requestHead("GET", "/look/1", "X-Expires-In-Ms: 1000\r\n"))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil && resp.StatusCode != 200 {
		err = fmt.Errorf("status %s", resp.Status)
	}
	if err == nil {
		_, err = io.CopyN(io.Discard, resp.Body, firstPartSize)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &largeResponse{conn: conn, response: resp}, nil
}

// readRest reads the rest of the response and returns its number of bytes.
func (r *largeResponse) readRest() (int64, error) {
	defer r.conn.Close()
	return io.Copy(io.Discard, r.response.Body)
}

// startLargeServer starts a server that responds to each request with size bytes, and returns its address.
func startLargeServer(t *testing.T, size int) string {
	t.Helper()
	chunk := make([]byte, firstPartSize)
	return scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		for range size / len(chunk) {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
}

// peakMemoryKB returns the peak resident memory of a process, in kB.
func peakMemoryKB(t *testing.T, pid int) (peak int) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	if _, err := fmt.Sscan(after, &peak); err != nil {
		t.Fatal(err)
	}
	return peak
}

// Fifty clients read only the first part of a response of 32 MB each, while the sidecar has the smallest memory
// that the platform assigns. The sidecar must stay within it, so it cannot buffer the responses, and the clients
// read the responses to the end afterwards.
func TestLargeAnswersInLittleMemory(t *testing.T) {
	const (
		responses = 50
		size      = 32 << 20
		memoryMB  = 32
	)
	endpointAddress := startLargeServer(t, size)
	h := newHost(t)
	originalText, err := os.ReadFile(h.configPath)
	require.NoError(t, err)
	configText := strings.Replace(sidecarConfig, "127.0.0.1:1\",\"lifecycle", endpointAddress+"\",\"lifecycle", 1)
	limits := fmt.Sprintf(`"seed":"1f","limits":{"memory_mb":%d,"sockets":256},`, memoryMB)
	configText = strings.Replace(configText, `"seed":"1f",`, limits, 1)
	if configText == sidecarConfig || len(originalText) == 0 ||
		os.WriteFile(h.configPath, []byte(configText), 0o600) != nil {
		t.Fatal("the configuration was not changed")
	}
	// Built without the race detector, as for the platform: with it, a process needs several times as much memory.
	programPath := filepath.Join(t.TempDir(), "dunlinsail")
	if out, err := exec.Command("go", "build", "-o", programPath, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	sidecar := h.startProgram(programPath).awaitReady()
	firstPartRead, resume := make(chan error), make(chan struct{})
	var readers sync.WaitGroup
	for range responses {
		readers.Go(func() {
			response, err := openLargeResponse(h.addr)
			if firstPartRead <- err; err != nil {
				return
			}
			<-resume
			if restSize, err := response.readRest(); err != nil || restSize != size-firstPartSize {
				t.Errorf("rest of a response: %d bytes, %v", restSize, err)
			}
		})
		// Requests are sent one after another: the single endpoint could not respond to all of them in time at
		// once.
		if err := scriptedpeer.Receive(t, firstPartRead, "the first part of a response"); err != nil {
			t.Error(err)
		}
	}
	close(resume)
	readers.Wait()
	peakKB := peakMemoryKB(t, sidecar.cmd.Process.Pid)
	t.Logf("peak resident memory: %d kB of %d MB", peakKB, memoryMB)
	if peakKB > memoryMB<<10 {
		t.Errorf("peak resident memory: %d kB of %d MB", peakKB, memoryMB)
	}
}
