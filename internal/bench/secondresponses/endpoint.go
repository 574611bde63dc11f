package secondresponses

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Behavior is what an endpoint does on a connection between a first response and the second one to the same request.
type Behavior uint8

// The behaviors.
const (
	// StopsReading reads no further request on the connection until the second response has been sent.
	StopsReading Behavior = iota
	// KeepsReading reads and serves further requests; a timer sends the second response.
	KeepsReading
)

// Behaviors are all behaviors.
var Behaviors = []Behavior{StopsReading, KeepsReading}

// String returns the behavior's name in tables.
func (b Behavior) String() string {
	if b == StopsReading {
		return "stops-reading"
	}
	return "keeps-reading"
}

// bodyFormat is the format of a response's body: the ID of its request, and which copy of the response it is.
const bodyFormat = "request %d copy %d"

// The copies of a response.
const (
	firstCopy = iota
	secondCopy
)

// endpoint is a server on loopback that sends some of its responses twice.
type endpoint struct {
	addr     string
	options  Options
	ledger   *ledger
	listener net.Listener
	running  sync.WaitGroup // the goroutines of the listener, the connections and the timers

	mu        sync.Mutex
	responses int        // sent so far, the second ones not counted
	sentTwice int        // of these, chosen to be sent twice
	rng       *rand.Rand // draws the responses that are sent twice
	chosen    int        // the response that is sent twice, by its position in the present period
}

// startEndpoint starts the endpoint at a position of the run.
func startEndpoint(options Options, position int, l *ledger) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		addr:     listener.Addr().String(),
		options:  options,
		ledger:   l,
		listener: listener,
		rng:      rand.New(rand.NewPCG(options.Seed, uint64(position))),
	}
	e.running.Go(e.accept)
	return e, nil
}

// accept serves connections until the listener is closed.
func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.running.Go(func() { e.serve(c) })
	}
}

// stop stops an endpoint whose connections have been closed by the other side, and waits for its goroutines.
func (e *endpoint) stop() {
	e.listener.Close()
	e.running.Wait()
}

// serve responds to the requests on a connection, which have no body, until it ends.
func (e *endpoint) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id, err := strconv.Atoi(request.Header.Get(requestIDField))
		if err != nil {
			return
		}
		time.Sleep(responseTime)
		if e.respond(c, id) != nil {
			return
		}
	}
}

// respond sends a response, and has it sent once more if it was chosen for that.
func (e *endpoint) respond(c net.Conn, id int) error {
	firstSentAt := time.Now()
	if err := writeResponse(c, id, firstCopy); err != nil {
		return err
	}
	if !e.chooseForSecond() {
		return nil
	}
	if e.options.Behavior == StopsReading {
		time.Sleep(e.options.Lateness)
		e.sendSecond(c, id, firstSentAt)
		return nil
	}
	e.running.Add(1)
	time.AfterFunc(e.options.Lateness, func() {
		defer e.running.Done()
		e.sendSecond(c, id, firstSentAt)
	})
	return nil
}

// chooseForSecond counts a response, and reports whether it is to be sent twice.
func (e *endpoint) chooseForSecond() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	position := e.responses - e.options.SentOnce
	e.responses++
	if position < 0 {
		return false
	}
	position %= e.options.Period
	if position == 0 {
		e.chosen = e.rng.IntN(e.options.Period)
	}
	if position != e.chosen {
		return false
	}
	e.sentTwice++
	return true
}

// sendSecond sends the second response to a request and records how late it was: the time from before the first was
// written until after the second was, the most by which it can have arrived late. Nothing is recorded if the connection
// was closed.
func (e *endpoint) sendSecond(c net.Conn, id int, firstSentAt time.Time) {
	if writeResponse(c, id, secondCopy) == nil {
		e.ledger.record(id, time.Since(firstSentAt))
	}
}

// writeResponse writes a response in one piece.
func writeResponse(w io.Writer, id, copyNumber int) error {
	body := fmt.Sprintf(bodyFormat, id, copyNumber)
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

// ledger records the second responses of all endpoints of a run.
type ledger struct {
	mu       sync.Mutex
	lateness map[int]time.Duration // as measured, by request ID
}

func newLedger() *ledger { return &ledger{lateness: map[int]time.Duration{}} }

// record records the second response to a request.
func (l *ledger) record(id int, lateness time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lateness[id] = lateness
}
