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

	"dunlinsail/internal/fake/scriptedpeer"
)

// Fifty responses of 32 MB to readers that stop after the first part, in the smallest memory that the platform gives:
// the sidecar buffers none of them, and all are read to their ends afterwards.
func TestLargeAnswersInLittleMemory(t *testing.T) {
	const (
		answers  = 50
		size     = 32 << 20
		memoryMB = 32
	)
	part := make([]byte, 64<<10)
	large := scriptedpeer.StartHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		for range size / len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	h := newHost(t)
	text, err := os.ReadFile(h.config)
	if err != nil {
		t.Fatal(err)
	}
	known := strings.Replace(config, "127.0.0.1:1\",\"lifecycle", large+"\",\"lifecycle", 1)
	limits := fmt.Sprintf(`"seed":"1f","limits":{"memory_mb":%d,"sockets":256},`, memoryMB)
	known = strings.Replace(known, `"seed":"1f",`, limits, 1)
	if known == config || len(text) == 0 || os.WriteFile(h.config, []byte(known), 0o600) != nil {
		t.Fatal("no configuration")
	}
	// As it is built for the platform: with the race detector a process is several times as large.
	program := filepath.Join(t.TempDir(), "dunlinsail")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	p := h.startAs(program).ready()
	firstPart, goOn := make(chan error), make(chan struct{})
	var all sync.WaitGroup
	for range answers {
		all.Go(func() {
			c, err := net.Dial("tcp", h.addr)
			if err != nil {
				firstPart <- err
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(time.Minute))
			r := bufio.NewReader(c)
			io.WriteString(c, requestHead("GET", "/look/1", "X-Expires-In-Ms: 1000\r\n"))
			resp, err := http.ReadResponse(r, nil)
			if err == nil && resp.StatusCode != 200 {
				err = fmt.Errorf("answered %s", resp.Status)
			}
			if err == nil {
				_, err = io.CopyN(io.Discard, resp.Body, 64<<10)
			}
			if firstPart <- err; err != nil {
				return
			}
			<-goOn
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size-64<<10 {
				t.Errorf("%d bytes more, %v", n, err)
			}
		})
		// One after the other: so many at once are more than the one endpoint can be expected to answer in time.
		if err := scriptedpeer.Receive(t, firstPart, "the first part of an answer"); err != nil {
			t.Error(err)
		}
	}
	close(goOn)
	all.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	var peak int
	if _, err := fmt.Sscan(after, &peak); err != nil {
		t.Fatal(err)
	}
	t.Logf("resident at most: %d kB of %d MB", peak, memoryMB)
	if peak > memoryMB<<10 {
		t.Errorf("resident at most: %d kB of %d MB", peak, memoryMB)
	}
}
