// Package eventlog writes what one instance does with its endpoints and with discovery, one line for each event, and
// analyzes the lines of a whole fleet. It makes no decisions and must not import protocols. events.go defines the
// lines, analyze.go the statistics, report.go how they are printed.
package eventlog

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"

	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Kind says what happened.
type Kind string

// The kinds of event.
const (
	AttemptStarted  Kind = "sent"   // an attempt started
	AttemptEnded    Kind = "ended"  // and had an outcome
	ProbeEnded      Kind = "probed" // a probe had an outcome
	EndpointUpdated Kind = "told"   // news of an endpoint came
	ConnOpened      Kind = "dialed" // a connection to an endpoint was opened, or was not
	ConnClosed      Kind = "closed" // and closed
	DiscoveryPolled Kind = "asked"  // discovery was called
)

// Event is what happened at one instance.
type Event struct {
	At       monotime.Micros // by the instance's clock
	Kind     Kind
	Endpoint string // its name; its address for Dialed and Closed; "" for Asked
	Addr     string // of Told
	Status   string // of Ended and Probed, by balancer.Status; of Told, the state; of Dialed and Asked, "ok" or "failed"
	Latency  monotime.Micros
}

const linePrefix = "event "

// String is the event's line without its end. What reads it needs no quoting: names with blanks are written with "_".
func (e Event) String() string {
	word := func(s string) string {
		if s == "" {
			return "-"
		}
		return strings.Map(func(r rune) rune {
			if r <= ' ' {
				return '_'
			}
			return r
		}, s)
	}
	return fmt.Sprintf("%s%d %s %s %s %s %d", linePrefix, e.At, e.Kind, word(e.Endpoint), word(e.Addr), word(e.Status), e.Latency)
}

// Parse reads a line. What stands before the event, as a time that a collector of logs puts there, is passed over; ok
// says whether there is an event, and err what is wrong with it.
func Parse(line string) (e Event, ok bool, err error) {
	at := strings.Index(line, linePrefix)
	if at < 0 {
		return e, false, nil
	}
	f := strings.Fields(line[at+len(linePrefix):])
	if len(f) != 6 {
		return e, true, fmt.Errorf("%d words after %q, want 6", len(f), strings.TrimSpace(linePrefix))
	}
	if e.At, err = strconv.ParseInt(f[0], 10, 64); err != nil {
		return e, true, err
	}
	if e.Latency, err = strconv.ParseInt(f[5], 10, 64); err != nil {
		return e, true, err
	}
	e.Kind = Kind(f[1])
	for i, to := range []*string{&e.Endpoint, &e.Addr, &e.Status} {
		if *to = f[2+i]; *to == "-" {
			*to = ""
		}
	}
	return e, true, nil
}

// Read reads an instance's log, in which events stand among other lines. An error names the line.
func Read(r io.Reader) (all []Event, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<20)
	for n := 1; in.Scan(); n++ {
		e, ok, err := Parse(in.Text())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if ok {
			all = append(all, e)
		}
	}
	return all, in.Err()
}

// Log writes events. It is engine.Observer and is told of connections and calls of discovery beside that. Its methods
// may be called side by side.
type Log struct {
	now    func() monotime.Micros
	mu     sync.Mutex
	output io.Writer
}

// NewLog returns a log that writes to a writer, with instants by a clock. What cannot be written is lost.
func NewLog(to io.Writer, now func() monotime.Micros) *Log { return &Log{now: now, output: to} }

func (l *Log) write(e Event) {
	if e.At == 0 {
		e.At = l.now()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintln(l.output, e)
}

var statusNames = [...]string{balancer.OK: "ok", balancer.Error: "error", balancer.Rejected: "full", balancer.Timeout: "timeout",
	balancer.ConnectFailed: "connect", balancer.Reset: "reset", balancer.Cancelled: "cancelled", balancer.NotSent: "moot"}

var stateNames = [...]string{balancer.Ready: "ready", balancer.Draining: "draining", balancer.Gone: "gone"}

// AttemptStarted notes that an attempt started.
func (l *Log) AttemptStarted(now monotime.Micros, endpoint string) {
	l.write(Event{At: now, Kind: AttemptStarted, Endpoint: endpoint})
}

// AttemptEnded notes an attempt's outcome.
func (l *Log) AttemptEnded(now monotime.Micros, endpoint string, s balancer.Status, latency monotime.Micros) {
	l.write(Event{At: now, Kind: AttemptEnded, Endpoint: endpoint, Status: statusNames[s], Latency: latency})
}

// ProbeEnded notes a probe's outcome.
func (l *Log) ProbeEnded(now monotime.Micros, endpoint string, s balancer.Status, latency monotime.Micros) {
	l.write(Event{At: now, Kind: ProbeEnded, Endpoint: endpoint, Status: statusNames[s], Latency: latency})
}

// EndpointsUpdated notes an update of the endpoint list, an event for each entry. What a full list leaves out is not
// noted.
func (l *Log) EndpointsUpdated(now monotime.Micros, t engine.EndpointUpdate) {
	for _, m := range t.Endpoints {
		l.write(Event{At: now, Kind: EndpointUpdated, Endpoint: m.Name, Addr: m.Addr, Status: stateNames[m.State]})
	}
}

// DiscoveryPolled notes a call of discovery.
func (l *Log) DiscoveryPolled(err error) {
	l.write(Event{Kind: DiscoveryPolled, Status: outcome(err == nil)})
}

func outcome(yes bool) string {
	if yes {
		return "ok"
	}
	return "failed"
}

// ConnOpened notes a connection that was opened to an address, or was not, and returns it such that its close is
// noted.
func (l *Log) ConnOpened(addr string, c net.Conn, err error) (net.Conn, error) {
	l.write(Event{Kind: ConnOpened, Endpoint: addr, Status: outcome(err == nil)})
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		return &observedConn{TCPConn: tcp, onClose: sync.OnceFunc(func() { l.write(Event{Kind: ConnClosed, Endpoint: addr}) })}, nil
	}
	return c, err
}

// observedConn is a connection whose close is noted.
type observedConn struct {
	*net.TCPConn
	onClose func()
}

func (c *observedConn) Close() error {
	c.onClose()
	return c.TCPConn.Close()
}
