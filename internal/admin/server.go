// Package admin serves the HTTP calls of on-call staff: readiness, metrics, cordons, members and maintenance. It has no
// state of its own and must not import the engines or the servers of clients: a Backend executes the calls. Each call
// has a response in time, however busy the process is.
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

// Sockets is the largest number of descriptors that the server uses: the listener, the connections, and one being
// accepted.
const Sockets = maxConns + 2

const (
	maxConns       = 8                      // at once; the next one replaces one without a complete call
	requestTimeout = 2 * time.Second        // for a call to arrive completely, and for its response to be written
	backendTimeout = 700 * time.Millisecond // for the backend to execute a call
	maxBodyBytes   = 4 << 10                // of a call
	maxHeaderBytes = 4 << 10                // of a call
	maxTargetBytes = 256                    // of an endpoint's ID
)

// Paths of the calls. The names are the operators' protocol; the terms are those of Backend.
const (
	PathReady              = "/ready"
	PathMetrics            = "/metrics"
	PathMembers            = "/members"
	PathMaintenance        = "/work"
	PathMaintenanceCommand = "/work/say"
	PathCordon             = "/endpoints/disable"
	PathUncordon           = "/endpoints/enable"
)

// ErrUnknownEndpoint means that no endpoint has the ID that a call names.
var ErrUnknownEndpoint = errors.New("no endpoint has this id")

// Backend executes the calls in its process. Its functions are called concurrently and must return when ctx ends.
type Backend struct {
	// Ready reports whether the process is ready, and why not.
	Ready func() (ready bool, reason string)

	// Metrics returns the metrics: lines name=value.
	Metrics func(ctx context.Context) (text []byte, err error)

	// SetCordon cordons or uncordons the endpoint with an ID, and returns once that is in effect. Its error is
	// ErrUnknownEndpoint if there is none.
	SetCordon func(ctx context.Context, endpoint string, cordoned bool) error

	// Members returns the known members of the fleet as JSON; nil if the call is not served.
	Members func(ctx context.Context) (text []byte, err error)

	// Maintenance executes a command about machines under maintenance, or without a body returns their state, as JSON;
	// nil if the calls are not served.
	Maintenance func(ctx context.Context, body []byte) (text []byte, err error)

	Log *slog.Logger
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
		ConnState:      s.conns.forgetClosed,
		ConnContext:    s.conns.connContext,
		ErrorLog:       slog.NewLogLogger(backend.Log.Handler(), slog.LevelDebug),
	}
	httpServer.SetKeepAlivesEnabled(false) // one call on each connection
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

// handle registers a handler for one method of a path. serve is called with the complete body, and a context that ends
// after backendTimeout.
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

// parseTarget returns the endpoint's ID, which is the only field of a call's body that is used.
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

// maxResponseBytes is the size in bytes to which Call reads a response.
const maxResponseBytes = 64 << 20
