// Command tool has the stand-ins of the review's cases: endpoints, clients and the checks of their records. It uses
// the standard library only, and loopback addresses only. Each case's run.sh starts it.
package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

func main() {
	commands := map[string]func(args []string) error{
		"ports":     printPorts,
		"ready":     awaitReady,
		"endpoint":  serveEndpoint,
		"send":      sendRequests,
		"check":     checkRecord,
		"discovery": serveDiscovery,
		"upload":    upload,
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: tool ports|ready|endpoint|send|check ...")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "tool:", os.Args[1]+":", err)
		if broken, ok := err.(ruleBroken); ok {
			fmt.Println(string(broken))
			os.Exit(1)
		}
		os.Exit(2)
	}
}

// ruleBroken is the error of a check that found the rule broken. The program then exits with 1.
type ruleBroken string

func (r ruleBroken) Error() string { return string(r) }

// printPorts prints as many free ports of 127.0.0.1 as its argument says, all different.
func printPorts(args []string) error {
	count := 1
	if len(args) > 0 {
		if _, err := fmt.Sscan(args[0], &count); err != nil {
			return err
		}
	}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer listener.Close() // at the end, so that no port is given twice
		fmt.Println(listener.Addr().(*net.TCPAddr).Port)
	}
	return nil
}

// record appends lines to a file that several processes write to. Each line begins with the time in milliseconds since
// the epoch.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func openRecord(path string) (*record, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return &record{file: file}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%d "+format+"\n", append([]any{time.Now().UnixMilli()}, args...)...)
}
