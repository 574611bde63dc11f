// Package webapp is a fake web application for tests of proxies: each request carries the Plan of its response, and the
// response describes the request as it arrived. It serves HTTP/1.1 with net/http and must not import what it tests.
package webapp

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// App is a running application. Its methods are safe for concurrent use.
type App struct {
	Addr string // host and port

	// OnRequest is called with each request's X-Id and whether its body was complete, concurrently; may be nil.
	OnRequest func(id string, complete bool)

	http         *http.Server
	ended        sync.WaitGroup
	requestCount atomic.Int64
	forcedStatus atomic.Int32 // the status of all responses; 0 leaves it to the plans
	fault        atomic.Pointer[func(r *http.Request) bool]
	rejection    atomic.Pointer[func(r *http.Request) bool]
}

// Start starts an application on a free loopback port. onRequest is its OnRequest and may be nil.
func Start(onRequest func(id string, complete bool)) (*App, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &App{Addr: ln.Addr().String(), OnRequest: onRequest}
	a.http = &http.Server{Handler: a, ErrorLog: log.New(io.Discard, "", 0)}
	a.ended.Go(func() { a.http.Serve(ln) })
	return a, nil
}

// Close stops the application and closes its connections.
func (a *App) Close() {
	a.http.Close()
	a.ended.Wait()
}

// SetStatus forces the status of all responses from now on; 0 ends that.
func (a *App) SetStatus(status int) { a.forcedStatus.Store(int32(status)) }

// SetFault resets the connection of each request for which f returns true, after the request has run.
func (a *App) SetFault(f func(r *http.Request) bool) { a.fault.Store(&f) }

// SetRejection rejects each request for which f returns true: once its body is complete, it is responded to with status
// 503 and the statement that it never ran, and does not run.
func (a *App) SetRejection(f func(r *http.Request) bool) { a.rejection.Store(&f) }

// RequestCount returns how many requests have arrived.
func (a *App) RequestCount() int64 { return a.requestCount.Load() }
