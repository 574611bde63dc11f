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
const Sockets = callersMost + 2

const (
	callersMost = 8               // connected at once; the next takes the place of one that has said nothing whole
	callTime    = 2 * time.Second // for a call to arrive whole: who calls in earnest waits 1 s for the answer
	answerTime  = 700 * time.Millisecond
	bodyMost    = 4 << 10
	headMost    = 4 << 10
	targetMost  = 256
)

// ErrUnknown is of a target that nobody has.
var ErrUnknown = errors.New("no endpoint has this id")

// Desk is whom the calls are passed on to. All of it is called from many goroutines and must heed ctx.
type Desk struct {
	Ready   func() (yes bool, why string)
	Figures func(ctx context.Context) (text []byte, err error)
	// ByHand takes an endpoint out or lets it in again, and returns once that holds; ErrUnknown is of one that nobody has.
	ByHand func(ctx context.Context, target string, out bool) error
	// Members returns what is known of the other instances, as JSON; nil is that nobody may ask here.
	Members func(ctx context.Context) (text []byte, err error)
	// Work says something of machines that are to go out for work, or shows how all stands where there is no body; nil is that nobody may here.
	Work func(ctx context.Context, body []byte) (text []byte, err error)
	Log  *slog.Logger
}

// Serve answers calls until ln is closed.
func Serve(ln net.Listener, d Desk) error {
	mux, callers := http.NewServeMux(), newCallers(ln)
	handle := func(method, path string, f func(ctx context.Context, w http.ResponseWriter, body []byte)) {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			if r.Method != method {
				w.Header().Set("Allow", method)
				say(w, http.StatusMethodNotAllowed, "%s takes %s", path, method)
				return
			}
			body, err := io.ReadAll(io.LimitReader(r.Body, bodyMost+1))
			switch {
			case err != nil:
				say(w, http.StatusBadRequest, "the body is not whole: %v", err)
				return
			case len(body) > bodyMost:
				say(w, http.StatusBadRequest, "the body is over %d bytes", bodyMost)
				return
			}
			callers.whole(r.Context())
			ctx, cancel := context.WithTimeout(r.Context(), answerTime)
			defer cancel()
			f(ctx, w, body)
		})
	}
	handle(http.MethodGet, "/ready", func(_ context.Context, w http.ResponseWriter, _ []byte) {
		if yes, why := d.Ready(); !yes {
			say(w, http.StatusServiceUnavailable, "%s", why)
			return
		}
		say(w, http.StatusOK, "ready")
	})
	handle(http.MethodGet, "/metrics", func(ctx context.Context, w http.ResponseWriter, _ []byte) {
		text, err := d.Figures(ctx)
		if err != nil {
			say(w, http.StatusServiceUnavailable, "no figures now: %v", err)
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write(text)
	})
	show := func(path string, of func(ctx context.Context) ([]byte, error)) {
		handle(http.MethodGet, path, func(ctx context.Context, w http.ResponseWriter, _ []byte) {
			text, err := of(ctx)
			if err != nil {
				say(w, http.StatusServiceUnavailable, "%v", err)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			w.Write(text)
		})
	}
	if d.Members != nil {
		show("/members", d.Members)
	}
	if d.Work != nil {
		show("/work", func(ctx context.Context) ([]byte, error) { return d.Work(ctx, nil) })
		handle(http.MethodPost, "/work/say", func(ctx context.Context, w http.ResponseWriter, body []byte) {
			text, err := d.Work(ctx, body)
			if err != nil {
				say(w, http.StatusConflict, "%v", err)
				return
			}
			say(w, http.StatusOK, "%s", text)
		})
	}
	for path, out := range map[string]bool{"/endpoints/disable": true, "/endpoints/enable": false} {
		handle(http.MethodPost, path, func(ctx context.Context, w http.ResponseWriter, body []byte) { d.byHand(ctx, w, body, out) })
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		say(w, http.StatusNotFound, "there is no %.100q here; GET /ready, GET /metrics, POST /endpoints/disable, POST /endpoints/enable", r.URL.Path)
	})
	s := &http.Server{Handler: mux, ReadTimeout: callTime, WriteTimeout: callTime, MaxHeaderBytes: headMost,
		ConnState: callers.state, ConnContext: callers.context,
		ErrorLog: slog.NewLogLogger(d.Log.Handler(), slog.LevelDebug)}
	s.SetKeepAlivesEnabled(false) // one call to a connection
	err := s.Serve(callers)
	s.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (d *Desk) byHand(ctx context.Context, w http.ResponseWriter, body []byte, out bool) {
	target, err := target(body)
	if err != nil {
		say(w, http.StatusBadRequest, "%v", err)
		return
	}
	err = d.ByHand(ctx, target, out)
	switch {
	case errors.Is(err, ErrUnknown):
		say(w, http.StatusNotFound, "%s: %v", target, err)
	case err != nil:
		say(w, http.StatusServiceUnavailable, "%s: %v; call again", target, err)
	case out:
		say(w, http.StatusOK, "%s is out", target)
	default:
		say(w, http.StatusOK, "%s may serve again", target)
	}
}

// target reads the one thing that a call's body says.
func target(text []byte) (string, error) {
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
	case len(*call.Target) > targetMost:
		return "", fmt.Errorf("target is over %d bytes", targetMost)
	case strings.ContainsFunc(*call.Target, func(c rune) bool { return c < ' ' || c == 0x7f }):
		return "", errors.New("target has a control character")
	}
	return *call.Target, nil
}

func say(w http.ResponseWriter, code int, format string, args ...any) {
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, answerMost))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", addr, strings.TrimSpace(string(text)))
	}
	return text, err
}

// answerMost bounds what a call's answer may be.
const answerMost = 64 << 20
