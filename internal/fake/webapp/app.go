// Package webapp is a stand-in for an ordinary web application: it answers as each request asks it to, and tells what it
// got. It speaks HTTP/1.1 by net/http, and knows nothing of what stands before it.
package webapp

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// PlanHeader is the request header that holds a Plan as JSON.
const PlanHeader = "X-Plan"

// Plan says how a request is to be answered. The zero Plan is 200 without a body.
type Plan struct {
	Status         int                 `json:"status,omitempty"`
	Header         map[string][]string `json:"header,omitempty"`
	BodySize       int                 `json:"body,omitempty"`    // bytes
	Pieces         int                 `json:"pieces,omitempty"`  // written one after another, with flushes: then in chunks
	PieceInterval  time.Duration       `json:"gap,omitempty"`     // between pieces
	CloseDelimited bool                `json:"closed,omitempty"`  // ended by the connection's end
	Trailer        map[string]string   `json:"trailer,omitempty"` // behind a body in chunks
	EarlyHints     int                 `json:"hints,omitempty"`   // answers 103 ahead
	BeforeBody     bool                `json:"early,omitempty"`   // answered before the request's body is read
	ResetAfter     int                 `json:"break,omitempty"`   // the connection is reset after so many bytes of the body
	Delay          time.Duration       `json:"work,omitempty"`    // before the answer
}

// JSON returns the plan as its header has it.
func (p Plan) JSON() string {
	text, err := json.Marshal(p)
	if err != nil {
		panic(err) // of figures and texts only
	}
	return string(text)
}

// PieceSizes returns the lengths of the pieces in which the body is written. Each piece begins the pattern of Bytes anew.
func (p Plan) PieceSizes() []int {
	parts := make([]int, max(1, p.Pieces))
	for i := range parts {
		parts[i] = p.BodySize / len(parts)
	}
	parts[0] += p.BodySize % len(parts)
	return parts
}

// ObservedRequest is what the application saw of a request. It tells so in the answer's header GotHeader, but for the body of a
// request that was answered early.
type ObservedRequest struct {
	Method, URI, Host string
	Header            http.Header
	Body              string // its length and digest
	Trailer           http.Header
	Chunked           bool
}

// ObservedRequestHeader is the answer's header that holds a Got as JSON.
const ObservedRequestHeader = "X-Got"

// App is a running application.
type App struct {
	Addr      string
	OnRequest func(id string, whole bool) // told of each request that began, by its X-Id, and whether its body was whole; may be nil

	http         *http.Server
	ended        sync.WaitGroup
	requestCount atomic.Int64
	forcedStatus atomic.Int32 // a status that all requests get; 0 is as they ask
	fault        atomic.Pointer[func(r *http.Request) bool]
}

// Start starts an application on a free port of loopback. runs is told of each request; nil is nobody.
func Start(onRequest func(id string, whole bool)) (*App, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &App{Addr: ln.Addr().String(), OnRequest: onRequest}
	a.http = &http.Server{Handler: a, ErrorLog: log.New(io.Discard, "", 0)}
	a.ended.Go(func() { a.http.Serve(ln) })
	return a, nil
}

// Close ends it, and all connections.
func (a *App) Close() {
	a.http.Close()
	a.ended.Wait()
}

// SetStatus answers everything with a status from now on; 0 ends that.
func (a *App) SetStatus(status int) { a.forcedStatus.Store(int32(status)) }

// SetFault has the connection reset, once a request has run, wherever f says so.
func (a *App) SetFault(f func(r *http.Request) bool) { a.fault.Store(&f) }

// RequestCount returns how many requests have come.
func (a *App) RequestCount() int64 { return a.requestCount.Load() }

// WriteBody writes n bytes of a body that is the same each time.
func WriteBody(w io.Writer, n int) error {
	for n > 0 {
		p := pattern[:min(n, len(pattern))]
		if _, err := w.Write(p); err != nil {
			return err
		}
		n -= len(p)
	}
	return nil
}

var pattern = func() (p [16 << 10]byte) {
	x := uint32(1)
	for i := range p {
		x = x*1664525 + 1013904223
		p[i] = 'a' + byte(x>>24)%26
	}
	return p
}()

// Digest tells a body's length and digest as it is read.
type Digest struct {
	length int64
	hash   hash.Hash
}

func (d *Digest) Write(p []byte) (int, error) {
	if d.hash == nil {
		d.hash = sha256.New()
	}
	d.length += int64(len(p))
	return d.hash.Write(p)
}

func (d *Digest) String() string {
	if d.length == 0 {
		return "0"
	}
	return fmt.Sprint(d.length, " ", hex.EncodeToString(d.hash.Sum(nil)[:8]))
}

func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.requestCount.Add(1)
	var p Plan
	if text := r.Header.Get(PlanHeader); text != "" {
		if err := json.Unmarshal([]byte(text), &p); err != nil {
			http.Error(w, err.Error(), http.StatusTeapot)
			return
		}
	}
	if status := int(a.forcedStatus.Load()); status != 0 {
		p.Status = status
	}
	id := r.Header.Get("X-Id")
	if !p.BeforeBody {
		if !a.readBody(w, r, id) {
			return
		}
	} else if a.OnRequest != nil {
		a.OnRequest(id, false)
	}
	if f := a.fault.Load(); f != nil && (*f)(r) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(p.Delay)
	for name, values := range p.Header {
		w.Header()[http.CanonicalHeaderKey(name)] = values
	}
	for range p.EarlyHints {
		w.Header().Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
	}
	if p.Status == 0 {
		p.Status = http.StatusOK
	}
	if p.CloseDelimited || p.ResetAfter > 0 {
		a.writeRaw(w, p)
		return
	}
	for name := range p.Trailer {
		w.Header().Add("Trailer", name)
	}
	rc := http.NewResponseController(w)
	if p.BeforeBody {
		if err := rc.EnableFullDuplex(); err != nil {
			panic(err) // HTTP/1.1 of net/http has it
		}
	}
	if p.Pieces == 0 && len(p.Trailer) == 0 && p.Status != http.StatusNoContent && p.Status != http.StatusNotModified {
		w.Header().Set("Content-Length", fmt.Sprint(p.BodySize))
	}
	w.WriteHeader(p.Status)
	if r.Method != http.MethodHead && p.Status != http.StatusNoContent && p.Status != http.StatusNotModified {
		for i, n := range p.PieceSizes() {
			if WriteBody(w, n) != nil {
				return
			}
			if p.Pieces > 0 {
				rc.Flush()
				if i < p.Pieces-1 {
					time.Sleep(p.PieceInterval)
				}
			}
		}
	}
	for name, v := range p.Trailer {
		w.Header().Set(name, v)
	}
	if p.BeforeBody {
		rc.Flush()
		_, _ = io.Copy(io.Discard, r.Body) // the answer is out whatever becomes of the rest
	}
}

// read reads the request's body and tells what came; it says whether that was whole.
func (a *App) readBody(w http.ResponseWriter, r *http.Request, id string) bool {
	var d Digest
	if _, err := io.Copy(&d, r.Body); err != nil {
		if a.OnRequest != nil {
			a.OnRequest(id, false)
		}
		return false
	}
	if a.OnRequest != nil {
		a.OnRequest(id, true)
	}
	got := ObservedRequest{r.Method, r.RequestURI, r.Host, r.Header.Clone(), d.String(), r.Trailer, len(r.TransferEncoding) > 0}
	text, err := json.Marshal(got)
	if err != nil {
		panic(err) // of texts only
	}
	w.Header().Set(ObservedRequestHeader, string(text))
	return true
}

// byHand answers on the bare connection.
func (a *App) writeRaw(w http.ResponseWriter, p Plan) {
	h := w.Header().Clone()
	c, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(rw, "HTTP/1.1 %d %s\r\n", p.Status, http.StatusText(p.Status))
	if p.ResetAfter > 0 {
		fmt.Fprintf(rw, "Content-Length: %d\r\n", p.BodySize)
	} else {
		h.Set("Connection", "close")
	}
	_ = h.Write(rw) // errors of a buffered connection come with Flush, and end the answer as planned or earlier
	_, _ = rw.WriteString("\r\n")
	if p.ResetAfter > 0 {
		_ = WriteBody(rw, min(p.ResetAfter, p.BodySize))
		_ = rw.Flush()
		if tcp, ok := c.(*net.TCPConn); ok {
			time.Sleep(20 * time.Millisecond) // a reset takes back what has not been read
			tcp.SetLinger(0)
		}
		return
	}
	for _, n := range p.PieceSizes() {
		_ = WriteBody(rw, n)
		_ = rw.Flush()
	}
}

// HeaderText returns a header in one line, in order, without the named fields.
func HeaderText(h http.Header, without ...string) string {
	var all []string
	for name, values := range h {
		if !slices.Contains(without, name) {
			all = append(all, fmt.Sprintf("%s: %q", name, values))
		}
	}
	slices.Sort(all)
	return strings.Join(all, "; ")
}
