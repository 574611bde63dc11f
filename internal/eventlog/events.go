// Package eventlog writes the events of one instance, such as attempts, probes and endpoint updates, as lines of
// text. It also computes statistics from the lines of all instances of a fleet. The package makes no decisions and
// must not import protocols. File events.go defines the lines, analyze.go computes the statistics, and report.go
// reads the logs of a fleet and prints the statistics.
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

// Kind is the kind of an event. Its value is the name that lines contain.
type Kind string

// Kinds of events. Their values are stored and must not change.
const (
	AttemptStarted  Kind = "sent"   // an attempt started
	AttemptEnded    Kind = "ended"  // an attempt ended
	ProbeEnded      Kind = "probed" // a probe ended
	EndpointUpdated Kind = "told"   // endpoint discovery reported an endpoint
	ConnOpened      Kind = "dialed" // a connection to an endpoint was opened, or could not be opened
	ConnClosed      Kind = "closed" // a connection to an endpoint was closed
	DiscoveryPolled Kind = "asked"  // endpoint discovery was polled
)

// Event is an event at one instance.
type Event struct {
	At       monotime.Micros // time on the instance's clock
	Kind     Kind
	Endpoint string // endpoint name; the address for ConnOpened and ConnClosed; empty for DiscoveryPolled
	Addr     string // endpoint address, only for EndpointUpdated
	// Status is the name of the balancer.Status for AttemptEnded and ProbeEnded, the name of the endpoint's state
	// for EndpointUpdated, and "ok" or "failed" for ConnOpened and DiscoveryPolled.
	Status  string
	Latency monotime.Micros // only for AttemptEnded and ProbeEnded
}

// linePrefix marks the start of an event in a line.
const linePrefix = "event "

// eventFieldCount is the number of fields of an event after linePrefix.
const eventFieldCount = 6

// String returns the line of an event without a line break. Fields need no quotes, because blanks and control
// characters in them are replaced by "_". An empty field is written as "-".
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

// Parse parses the event in a line. Text before linePrefix, such as a timestamp of a log collector, is ignored. ok
// is false if the line contains no event. err is not nil if the line contains a malformed event.
func Parse(line string) (e Event, ok bool, err error) {
	prefixIndex := strings.Index(line, linePrefix)
	if prefixIndex < 0 {
		return e, false, nil
	}
	fields := strings.Fields(line[prefixIndex+len(linePrefix):])
	if len(fields) != eventFieldCount {
		return e, true, fmt.Errorf("%d fields after %q, want %d", len(fields), strings.TrimSpace(linePrefix),
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

// maxLineBytes is the maximum length of a line that Read accepts.
const maxLineBytes = 1 << 20

// Read returns the events in an instance's log. Lines without an event are ignored. The error for a malformed event
// contains the line number.
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

// Log writes events as lines. It implements engine.Observer, and has further methods for connections and for polls
// of endpoint discovery. It is safe for concurrent use.
type Log struct {
	clock  func() monotime.Micros
	mu     sync.Mutex
	output io.Writer
}

// NewLog returns a Log that writes to output. clock returns the time for events whose caller passes no time. Events
// that cannot be written are lost.
func NewLog(output io.Writer, clock func() monotime.Micros) *Log {
	return &Log{clock: clock, output: output}
}

// writeEvent writes the line of an event. It sets At to the present time if At is 0.
func (l *Log) writeEvent(e Event) {
	if e.At == 0 {
		e.At = l.clock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintln(l.output, e)
}

// statusOK is the status of an attempt, a probe, a connection or a poll that has succeeded.
const statusOK = "ok"

// statusNames are the names of balancer.Status values in lines. They are stored and must not change.
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

// stateNames are the names of endpoint states in lines. They are stored and must not change.
var stateNames = [...]string{balancer.Ready: "ready", balancer.Draining: "draining", balancer.Gone: "gone"}

// AttemptStarted writes that an attempt at an endpoint started.
func (l *Log) AttemptStarted(now monotime.Micros, endpoint string) {
	l.writeEvent(Event{At: now, Kind: AttemptStarted, Endpoint: endpoint})
}

// AttemptEnded writes the status and latency of an attempt that ended.
func (l *Log) AttemptEnded(now monotime.Micros, endpoint string, status balancer.Status, latency monotime.Micros) {
	l.writeEvent(Event{At: now, Kind: AttemptEnded, Endpoint: endpoint, Status: statusNames[status], Latency: latency})
}

// ProbeEnded writes the status and latency of a probe that ended.
func (l *Log) ProbeEnded(now monotime.Micros, endpoint string, status balancer.Status, latency monotime.Micros) {
	l.writeEvent(Event{At: now, Kind: ProbeEnded, Endpoint: endpoint, Status: statusNames[status], Latency: latency})
}

// EndpointsUpdated writes one event for each endpoint in an update of the endpoint list. An endpoint that was
// removed by its absence from a full list has no event.
func (l *Log) EndpointsUpdated(now monotime.Micros, update engine.EndpointUpdate) {
	for _, endpoint := range update.Endpoints {
		l.writeEvent(Event{
			At: now, Kind: EndpointUpdated, Endpoint: endpoint.Name, Addr: endpoint.Addr,
			Status: stateNames[endpoint.State],
		})
	}
}

// DiscoveryPolled writes whether a poll of endpoint discovery succeeded.
func (l *Log) DiscoveryPolled(err error) {
	l.writeEvent(Event{Kind: DiscoveryPolled, Status: outcomeStatus(err == nil)})
}

// outcomeStatus returns the status of a connection or a poll.
func outcomeStatus(succeeded bool) string {
	if succeeded {
		return statusOK
	}
	return "failed"
}

// ConnOpened writes whether a connection to an address was opened. It returns its arguments conn and err, but a TCP
// connection is replaced by one that writes an event when it is closed.
func (l *Log) ConnOpened(addr string, conn net.Conn, err error) (net.Conn, error) {
	l.writeEvent(Event{Kind: ConnOpened, Endpoint: addr, Status: outcomeStatus(err == nil)})
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		onClose := func() { l.writeEvent(Event{Kind: ConnClosed, Endpoint: addr}) }
		return &observedConn{TCPConn: tcp, onClose: sync.OnceFunc(onClose)}, nil
	}
	return conn, err
}

// observedConn is a TCP connection that calls onClose when it is closed.
type observedConn struct {
	*net.TCPConn
	onClose func()
}

// Close calls onClose and closes the connection.
func (c *observedConn) Close() error {
	c.onClose()
	return c.TCPConn.Close()
}
