// Package admin serves the HTTP calls of operators: readiness, metrics, cordons, members and maintenance. A
// Backend executes the calls; the package has no state of its own and must not import the engines or the servers
// for clients. A call gets a response within a bounded time, even if the process is busy.
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

// MaxDescriptors is the largest number of descriptors that the server uses: the listener, maxConns connections, and one
// connection that is being accepted.
const MaxDescriptors = maxConns + 2

const (
	maxConns       = 8                      // open at the same time; a further one replaces one without a complete call
	requestTimeout = 2 * time.Second        // for reading a call completely, and for writing its response
	backendTimeout = 700 * time.Millisecond // timeout of the context with which the backend executes a call
	maxBodyBytes   = 4 << 10                // of the body of a call
	maxHeaderBytes = 4 << 10                // of the head of a call
	maxTargetBytes = 256                    // of the endpoint ID in a call
)

// Paths of the calls. The operators' protocol defines the paths; the constants use the terms of Backend.
const (
	PathReady              = "/ready"
	PathMetrics            = "/metrics"
	PathMembers            = "/members"
	PathMaintenance        = "/work"
	PathMaintenanceCommand = "/work/say"
	PathCordon             = "/endpoints/disable"
	PathUncordon           = "/endpoints/enable"
)

// ErrUnknownEndpoint is returned by Backend.SetCordon if no endpoint has the ID.
var ErrUnknownEndpoint = errors.New("no endpoint has this id")

// Backend executes the calls. Its functions are called concurrently and must return when ctx ends.
type Backend struct {
	// Ready reports whether the process is ready; if it is not, reason states why.
	Ready func() (ready bool, reason string)

	// Metrics returns the metrics as lines of the form name=value.
	Metrics func(ctx context.Context) (text []byte, err error)

	// SetCordon cordons or uncordons the endpoint with an ID, and returns once the change is in effect. It returns
	// ErrUnknownEndpoint if no endpoint has the ID.
	SetCordon func(ctx context.Context, endpoint string, cordoned bool) error

	// Members returns the known members of the fleet as JSON. If it is nil, the call is not available.
	Members func(ctx context.Context) (text []byte, err error)

	// Maintenance executes the command in body, which concerns machines under maintenance. If body is nil, it
	// returns the state of the maintenance as JSON. If Maintenance is nil, the calls are not available.
	Maintenance func(ctx context.Context, body []byte) (text []byte, err error)

	Log *slog.Logger
}

// Serve serves calls on ln until ln is closed.
func Serve(ln net.Listener, backend Backend) error {
	s := &server{backend: backend, mux: http.NewServeMux(), conns: newConnLimiter(ln)}
	s.registerRoutes()
	httpServer := &http.Server{
		Handler:        s.mux,
		ReadTimeout:    requestTimeout,
		WriteTimeout:   requestTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      s.conns.forgetClosed,
		ConnContext:    s.conns.connContext,
		ErrorLog:       slog.NewLogLogger(backend.Log.Handler(), slog.LevelDebug),
	}
	httpServer.SetKeepAlivesEnabled(false) // each connection serves a single call
	err := httpServer.Serve(s.conns)
	httpServer.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// server routes calls to a backend.
type server struct {
	backend Backend
	mux     *http.ServeMux
	conns   *connLimiter
}

// handlerFunc serves a call. body is the complete body of the call.
type handlerFunc func(ctx context.Context, w http.ResponseWriter, body []byte)

func (s *server) registerRoutes() {
	s.handle(http.MethodGet, PathReady, s.serveReady)
	s.handle(http.MethodGet, PathMetrics, s.serveMetrics)
	if s.backend.Members != nil {
		s.handleJSON(PathMembers, s.backend.Members)
	}
	if s.backend.Maintenance != nil {
		maintenanceState := func(ctx context.Context) ([]byte, error) { return s.backend.Maintenance(ctx, nil) }
		s.handleJSON(PathMaintenance, maintenanceState)
		s.handle(http.MethodPost, PathMaintenanceCommand, s.serveMaintenance)
	}
	for path, cordoned := range map[string]bool{PathCordon: true, PathUncordon: false} {
		s.handle(http.MethodPost, path, func(ctx context.Context, w http.ResponseWriter, body []byte) {
			s.serveCordon(ctx, w, body, cordoned)
		})
	}
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeText(w, http.StatusNotFound, "there is no %.100q here; GET "+PathReady+", GET "+PathMetrics+
			", POST "+PathCordon+", POST "+PathUncordon, r.URL.Path)
	})
}

// handle registers a handler for a path; calls with another method are rejected. serve is called with a context
// that ends after backendTimeout, and the complete body.
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

// handleJSON registers a handler for GET calls whose response is the JSON text that source returns.
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

func (s *server) serveCordon(ctx context.Context, w http.ResponseWriter, body []byte, cordoned bool) {
	endpoint, err := parseTarget(body)
	if err != nil {
		writeText(w, http.StatusBadRequest, "%v", err)
		return
	}
	err = s.backend.SetCordon(ctx, endpoint, cordoned)
	switch {
	case errors.Is(err, ErrUnknownEndpoint):
		writeText(w, http.StatusNotFound, "%s: %v", endpoint, err)
	case err != nil:
		writeText(w, http.StatusServiceUnavailable, "%s: %v; call again", endpoint, err)
	case cordoned:
		writeText(w, http.StatusOK, "%s is out", endpoint)
	default:
		writeText(w, http.StatusOK, "%s may serve again", endpoint)
	}
}

// parseTarget returns the endpoint ID in the body of a cordon call. Other fields of the body are ignored.
func parseTarget(text []byte) (string, error) {
	var call struct {
		Target *string `json:"target"`
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	switch err := decoder.Decode(&call); {
	case err != nil:
		return "", fmt.Errorf(`the body is not {"target":"ID"}: %w`, err)
	case decoder.More():
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

// Call sends a call to the admin server at addr and returns the text of the response. If body is nil, the call is
// a GET, otherwise a POST with body as JSON. If the status of the response is not 200, the error contains the
// text.
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
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, requestBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(request)
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

// maxResponseBytes is the largest number of bytes of a response that Call reads.
const maxResponseBytes = 64 << 20
