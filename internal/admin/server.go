// Package admin serves the calls of on-call staff: whether this process takes clients, its figures, and endpoints
// taken out by hand. It decides nothing and knows neither engines nor clients' requests: what it is asked for it asks of
// whoever made it (Desk), and an answer it has in time whatever else the process does.
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

// Sockets is how many descriptors the calls need at most: the listener, the callers, and one more that is being accepted.
const Sockets = maxConns + 2

const (
	maxConns       = 8               // connected at once; the next takes the place of one that has said nothing whole
	requestTimeout = 2 * time.Second // for a call to arrive whole: who calls in earnest waits 1 s for the answer
	backendTimeout = 700 * time.Millisecond
	maxBodyBytes   = 4 << 10
	maxHeaderBytes = 4 << 10
	maxTargetBytes = 256
)

// ErrUnknownEndpoint is of a target that nobody has.
var ErrUnknownEndpoint = errors.New("no endpoint has this id")

// Backend is the process that the calls are about. Its functions are called concurrently and must return when ctx ends.
type Backend struct {
	Ready   func() (ready bool, reason string)
	Metrics func(ctx context.Context) (text []byte, err error)
	// SetCordon cordons an endpoint or lifts its cordon, and returns once that holds; ErrUnknownEndpoint: there is none.
	SetCordon func(ctx context.Context, target string, out bool) error
	// Members returns the known members of the fleet as JSON; nil: not served here.
	Members func(ctx context.Context) (text []byte, err error)
	// Maintenance sends a request about machines under maintenance, or without a body returns their state, as JSON; nil:
	// not served here.
	Maintenance func(ctx context.Context, body []byte) (text []byte, err error)
	Log         *slog.Logger
}

// Serve answers calls until ln is closed.
func Serve(ln net.Listener, d Backend) error {
	mux, callers := http.NewServeMux(), newConnLimiter(ln)
	handle := func(method, path string, f func(ctx context.Context, w http.ResponseWriter, body []byte)) {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
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
			callers.markActive(r.Context())
			ctx, cancel := context.WithTimeout(r.Context(), backendTimeout)
			defer cancel()
			f(ctx, w, body)
		})
	}
	handle(http.MethodGet, "/ready", func(_ context.Context, w http.ResponseWriter, _ []byte) {
		if ready, reason := d.Ready(); !ready {
			writeText(w, http.StatusServiceUnavailable, "%s", reason)
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
	handle(http.MethodGet, "/metrics", func(ctx context.Context, w http.ResponseWriter, _ []byte) {
		text, err := d.Metrics(ctx)
		if err != nil {
			writeText(w, http.StatusServiceUnavailable, "no figures now: %v", err)
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write(text)
	})
	show := func(path string, of func(ctx context.Context) ([]byte, error)) {
		handle(http.MethodGet, path, func(ctx context.Context, w http.ResponseWriter, _ []byte) {
			text, err := of(ctx)
			if err != nil {
				writeText(w, http.StatusServiceUnavailable, "%v", err)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			w.Write(text)
		})
	}
	if d.Members != nil {
		show("/members", d.Members)
	}
	if d.Maintenance != nil {
		show("/work", func(ctx context.Context) ([]byte, error) { return d.Maintenance(ctx, nil) })
		handle(http.MethodPost, "/work/say", func(ctx context.Context, w http.ResponseWriter, body []byte) {
			text, err := d.Maintenance(ctx, body)
			if err != nil {
				writeText(w, http.StatusConflict, "%v", err)
				return
			}
			writeText(w, http.StatusOK, "%s", text)
		})
	}
	for path, out := range map[string]bool{"/endpoints/disable": true, "/endpoints/enable": false} {
		handle(http.MethodPost, path, func(ctx context.Context, w http.ResponseWriter, body []byte) { d.serveCordon(ctx, w, body, out) })
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeText(w, http.StatusNotFound, "there is no %.100q here; GET /ready, GET /metrics, POST /endpoints/disable, POST /endpoints/enable", r.URL.Path)
	})
	s := &http.Server{Handler: mux, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: callers.trackState, ConnContext: callers.connContext,
		ErrorLog: slog.NewLogLogger(d.Log.Handler(), slog.LevelDebug)}
	s.SetKeepAlivesEnabled(false) // one call to a connection
	err := s.Serve(callers)
	s.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
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

// target reads the one thing that a call's body says.
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

// Call calls a process's operators' path, with a body in JSON where there is one, and returns what it says. What is said of a call that is turned down is the
// error.
func Call(ctx context.Context, addr, path string, body any) ([]byte, error) {
	method, in := http.MethodGet, io.Reader(nil)
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		method, in = http.MethodPost, bytes.NewReader(text)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, in)
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

// answerMost bounds what a call's answer may be.
const maxResponseBytes = 64 << 20
