// Package eventlog writes one instance's events with endpoints and discovery, a line for each, and analyzes the lines
// of a whole fleet. It makes no decisions and must not import protocols. events.go defines the lines, analyze.go the
// statistics, report.go their output.
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

// Kind is the kind of an event, by its stored name.
type Kind string

// The kinds of event.
const (
	AttemptStarted  Kind = "sent"   // an attempt started
	AttemptEnded    Kind = "ended"  // an attempt ended
	ProbeEnded      Kind = "probed" // a probe ended
	EndpointUpdated Kind = "told"   // an update of an endpoint arrived
	ConnOpened      Kind = "dialed" // a connection to an endpoint was opened, or failed to
	ConnClosed      Kind = "closed" // a connection to an endpoint was closed
	DiscoveryPolled Kind = "asked"  // discovery was called
)

// Event is an event at one instance.
type Event struct {
	At       monotime.Micros // by the instance's clock
	Kind     Kind
	Endpoint string // name; for ConnOpened and ConnClosed the address; empty for DiscoveryPolled
	Addr     string // of EndpointUpdated
	// Status is the balancer.Status of AttemptEnded and ProbeEnded, the state of EndpointUpdated, and "ok" or "failed"
	// of ConnOpened and DiscoveryPolled.
	Status  string
	Latency monotime.Micros // of AttemptEnded and ProbeEnded
}

// linePrefix is the start of an event in a line.
const linePrefix = "event "

// eventFieldCount is the number of fields of an event after linePrefix.
const eventFieldCount = 6

// String returns the event's line without its end. Fields need no quoting: blanks in names are replaced by "_".
func (e Event) String() string {
	field := func(s string) string {
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
	return fmt.Sprintf("%s%d %s %s %s %s %d",
		linePrefix, e.At, e.Kind, field(e.Endpoint), field(e.Addr), field(e.Status), e.Latency)
}

// Parse reads a line. Text before the event, such as a collector's time, is ignored. ok is false if the line has no
// event; err is not nil if its event is malformed.
func Parse(line string) (e Event, ok bool, err error) {
	prefixIndex := strings.Index(line, linePrefix)
	if prefixIndex < 0 {
		return e, false, nil
	}
	fields := strings.Fields(line[prefixIndex+len(linePrefix):])
	if len(fields) != eventFieldCount {
		return e, true, fmt.Errorf("%d words after %q, want %d", len(fields), strings.TrimSpace(linePrefix),
			eventFieldCount)
	}
	if e.At, err = strconv.ParseInt(fields[0], 10, 64); err != nil {
		return e, true, err
	}
	if e.Latency, err = strconv.ParseInt(fields[eventFieldCount-1], 10, 64); err != nil {
		return e, true, err
	}
	e.Kind = Kind(fields[1])
	for i, target := range []*string{&e.Endpoint, &e.Addr, &e.Status} {
		if *target = fields[2+i]; *target == "-" {
			*target = ""
		}
	}
	return e, true, nil
}

// maxLineBytes is the length of the longest line that Read accepts.
const maxLineBytes = 1 << 20

// Read reads an instance's log, which may have lines without an event. An error names the number of the line.
func Read(r io.Reader) (events []Event, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		e, ok, err := Parse(scanner.Text())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", lineNumber, err)
		}
		if ok {
			events = append(events, e)
		}
	}
	return events, scanner.Err()
}

// Log writes events. It implements engine.Observer, and has methods for connections and calls of discovery in addition.
// It is safe for concurrent use.
type Log struct {
	clock  func() monotime.Micros
	mu     sync.Mutex
	output io.Writer
}

// NewLog returns a log that writes to a writer. now is the clock for events without an instant. Events that cannot be
// written are lost.
func NewLog(output io.Writer, clock func() monotime.Micros) *Log {
	return &Log{clock: clock, output: output}
}

// write writes an event, with the present instant if it has none.
func (l *Log) write(e Event) {
	if e.At == 0 {
		e.At = l.clock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintln(l.output, e)
}

// statusOK is the status of an attempt, a connection or a poll that succeeded.
const statusOK = "ok"

// statusNames are the stored names, which never change.
var statusNames = [...]string{
	balancer.OK:            statusOK,
	balancer.Error:         "error",
	balancer.Rejected:      "full",
	balancer.Timeout:       "timeout",
	balancer.ConnectFailed: "connect",
	balancer.Reset:         "reset",
	balancer.Cancelled:     "cancelled",
	balancer.NotSent:       "moot",
}

// stateNames are the stored names, which never change.
var stateNames = [...]string{balancer.Ready: "ready", balancer.Draining: "draining", balancer.Gone: "gone"}

// AttemptStarted writes that an attempt started.
func (l *Log) AttemptStarted(now monotime.Micros, endpoint string) {
	l.write(Event{At: now, Kind: AttemptStarted, Endpoint: endpoint})
}

// AttemptEnded writes the outcome of an attempt.
func (l *Log) AttemptEnded(now monotime.Micros, endpoint string, status balancer.Status, latency monotime.Micros) {
	l.write(Event{At: now, Kind: AttemptEnded, Endpoint: endpoint, Status: statusNames[status], Latency: latency})
}

// ProbeEnded writes the outcome of a probe.
func (l *Log) ProbeEnded(now monotime.Micros, endpoint string, status balancer.Status, latency monotime.Micros) {
	l.write(Event{At: now, Kind: ProbeEnded, Endpoint: endpoint, Status: statusNames[status], Latency: latency})
}

// EndpointsUpdated writes an update of the endpoint list, an event for each of its entries. Endpoints that a full list
// no longer contains have no event.
func (l *Log) EndpointsUpdated(now monotime.Micros, update engine.EndpointUpdate) {
	for _, endpoint := range update.Endpoints {
		l.write(Event{
			At: now, Kind: EndpointUpdated, Endpoint: endpoint.Name, Addr: endpoint.Addr,
			Status: stateNames[endpoint.State],
		})
	}
}

// DiscoveryPolled writes the outcome of a call of discovery.
func (l *Log) DiscoveryPolled(err error) {
	l.write(Event{Kind: DiscoveryPolled, Status: outcomeStatus(err == nil)})
}

// outcome returns the status of a connection or a poll.
func outcomeStatus(succeeded bool) string {
	if succeeded {
		return statusOK
	}
	return "failed"
}

// ConnOpened writes that a connection to an address was opened or failed to. It returns the connection and the error;
// the close of the returned connection is written as well.
func (l *Log) ConnOpened(addr string, conn net.Conn, err error) (net.Conn, error) {
	l.write(Event{Kind: ConnOpened, Endpoint: addr, Status: outcomeStatus(err == nil)})
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		onClose := func() { l.write(Event{Kind: ConnClosed, Endpoint: addr}) }
		return &observedConn{TCPConn: tcp, onClose: sync.OnceFunc(onClose)}, nil
	}
	return conn, err
}

// observedConn is a connection whose first close is written.
type observedConn struct {
	*net.TCPConn
	onClose func()
}

// Close closes the connection.
func (c *observedConn) Close() error {
	c.onClose()
	return c.TCPConn.Close()
}
