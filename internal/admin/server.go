// Package admin serves the HTTP calls of on-call staff: readiness, metrics, cordons, members and maintenance. It
// keeps no state of its own and must not import the engines or the servers of clients: a Backend carries the calls
// out. Each call is answered in time, however busy the process is.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"
)

// Sockets is the most descriptors that the server uses: the listener, the connections, and one being accepted.
const Sockets = maxConns + 2

const (
	maxConns       = 8               // connected at once; the next replaces one without a complete call
	requestTimeout = 2 * time.Second // for a call to arrive completely
	backendTimeout = 700 * time.Millisecond
	maxBodyBytes   = 4 << 10
	maxHeaderBytes = 4 << 10
	maxTargetBytes = 256
)

// ErrUnknownEndpoint means that no endpoint has the target id.
var ErrUnknownEndpoint = errors.New("no endpoint has this id")

// Backend is the process that the calls are about. Its functions are called concurrently and must return when ctx
// ends.
type Backend struct {
	Ready   func() (ready bool, reason string)
	Metrics func(ctx context.Context) (text []byte, err error)
	// SetCordon cordons an endpoint or lifts its cordon, and returns once that holds; ErrUnknownEndpoint: there is
	// none.
	SetCordon func(ctx context.Context, target string, out bool) error
	// Members returns the known members of the fleet as JSON; nil: not served here.
	Members func(ctx context.Context) (text []byte, err error)
	// Maintenance sends a request about machines under maintenance, or without a body returns their state, as JSON;
	// nil: not served here.
	Maintenance func(ctx context.Context, body []byte) (text []byte, err error)
	Log         *slog.Logger
}

// Serve serves the calls until ln is closed.
func Serve(ln net.Listener, backend Backend) error {
	s := &server{backend: backend, mux: http.NewServeMux(), conns: newConnLimiter(ln)}
	s.registerRoutes()
	httpServer := &http.Server{
		Handler:        s.mux,
		ReadTimeout:    requestTimeout,
		WriteTimeout:   requestTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      s.conns.trackState,
		ConnContext:    s.conns.connContext,
		ErrorLog:       slog.NewLogLogger(backend.Log.Handler(), slog.LevelDebug),
	}
	httpServer.SetKeepAlivesEnabled(false) // one request on each connection
	err := httpServer.Serve(s.conns)
	httpServer.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// server routes the calls to a backend.
type server struct {
	backend Backend
	mux     *http.ServeMux
	conns   *connLimiter
}

// handlerFunc serves a call whose body has been read completely.
type handlerFunc func(ctx context.Context, w http.ResponseWriter, body []byte)

func (s *server) registerRoutes() {
	s.handle(http.MethodGet, "/ready", s.serveReady)
	s.handle(http.MethodGet, "/metrics", s.serveMetrics)
	if s.backend.Members != nil {
		s.handleJSON("/members", s.backend.Members)
	}
	if s.backend.Maintenance != nil {
		s.handleJSON("/work", func(ctx context.Context) ([]byte, error) { return s.backend.Maintenance(ctx, nil) })
		s.handle(http.MethodPost, "/work/say", s.serveMaintenance)
	}
	for path, out := range map[string]bool{"/endpoints/disable": true, "/endpoints/enable": false} {
		s.handle(http.MethodPost, path, func(ctx context.Context, w http.ResponseWriter, body []byte) {
			s.backend.serveCordon(ctx, w, body, out)
		})
	}
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeText(w, http.StatusNotFound, "there is no %.100q here; GET /ready, GET /metrics, "+
			"POST /endpoints/disable, POST /endpoints/enable", r.URL.Path)
	})
}

// handle registers a handler for one method of a path. It is called with a complete body and the time limit of a call.
func (s *server) handle(method, path string, serve handlerFunc) {
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			writeText(w, http.StatusMethodNotAllowed, "%s takes %s", path, method)
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
		switch {
		case err != nil:
			writeText(w, http.StatusBadRequest, "the body is not whole: %v", err)
			return
		case len(body) > maxBodyBytes:
			writeText(w, http.StatusBadRequest, "the body is over %d bytes", maxBodyBytes)
			return
		}
		s.conns.markActive(r.Context())
		ctx, cancel := context.WithTimeout(r.Context(), backendTimeout)
		defer cancel()
		serve(ctx, w, body)
	})
}

// handleJSON registers a GET whose response is a JSON text of the backend.
func (s *server) handleJSON(path string, source func(ctx context.Context) ([]byte, error)) {
	s.handle(http.MethodGet, path, func(ctx context.Context, w http.ResponseWriter, _ []byte) {
		text, err := source(ctx)
		if err != nil {
			writeText(w, http.StatusServiceUnavailable, "%v", err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(text)
	})
}

func (s *server) serveReady(_ context.Context, w http.ResponseWriter, _ []byte) {
	if ready, reason := s.backend.Ready(); !ready {
		writeText(w, http.StatusServiceUnavailable, "%s", reason)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *server) serveMetrics(ctx context.Context, w http.ResponseWriter, _ []byte) {
	text, err := s.backend.Metrics(ctx)
	if err != nil {
		writeText(w, http.StatusServiceUnavailable, "no figures now: %v", err)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Write(text)
}

func (s *server) serveMaintenance(ctx context.Context, w http.ResponseWriter, body []byte) {
	text, err := s.backend.Maintenance(ctx, body)
	if err != nil {
		writeText(w, http.StatusConflict, "%v", err)
		return
	}
	writeText(w, http.StatusOK, "%s", text)
}

func (d *Backend) serveCordon(ctx context.Context, w http.ResponseWriter, body []byte, out bool) {
	target, err := parseTarget(body)
	if err != nil {
		writeText(w, http.StatusBadRequest, "%v", err)
		return
	}
	err = d.SetCordon(ctx, target, out)
	switch {
	case errors.Is(err, ErrUnknownEndpoint):
		writeText(w, http.StatusNotFound, "%s: %v", target, err)
	case err != nil:
		writeText(w, http.StatusServiceUnavailable, "%s: %v; call again", target, err)
	case out:
		writeText(w, http.StatusOK, "%s is out", target)
	default:
		writeText(w, http.StatusOK, "%s may serve again", target)
	}
}

// parseTarget reads the one thing that a call's body says.
func parseTarget(text []byte) (string, error) {
	var call struct {
		Target *string `json:"target"`
	}
	d := json.NewDecoder(bytes.NewReader(text))
	switch err := d.Decode(&call); {
	case err != nil:
		return "", fmt.Errorf(`the body is not {"target":"ID"}: %w`, err)
	case d.More():
		return "", errors.New(`the body is not {"target":"ID"}: something follows it`)
	case call.Target == nil || *call.Target == "":
		return "", errors.New("target is missing")
	case len(*call.Target) > maxTargetBytes:
		return "", fmt.Errorf("target is over %d bytes", maxTargetBytes)
	case strings.ContainsFunc(*call.Target, func(c rune) bool { return c < ' ' || c == 0x7f }):
		return "", errors.New("target has a control character")
	}
	return *call.Target, nil
}

func writeText(w http.ResponseWriter, code int, format string, args ...any) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	fmt.Fprintf(w, format+"\n", args...)
}

// Call calls an admin path of a process, with body as JSON if it is not nil, and returns the text of the response. A
// response other than 200 is returned as an error with its text.
func Call(ctx context.Context, addr, path string, body any) ([]byte, error) {
	method := http.MethodGet
	var requestBody io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		method = http.MethodPost
		requestBody = bytes.NewReader(text)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, requestBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", addr, strings.TrimSpace(string(text)))
	}
	return text, err
}

// maxResponseBytes bounds what a call's answer may be.
const maxResponseBytes = 64 << 20
