package bench

import (
	"context"
	"errors"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	proxyIdleConns       = 256 // to an endpoint
	proxyShutdownTimeout = time.Second
)

// Proxy serves net/http/httputil.ReverseProxy over endpoints in turn until ctx ends: what the program under test is
// compared with.
func Proxy(ctx context.Context, listen string, endpoints []string) error {
	var next atomic.Uint64
	p := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: endpoints[next.Add(1)%uint64(len(endpoints))]})
			r.Out.Host = r.In.Host
		},
		FlushInterval: -1, // at once
		Transport:     &http.Transport{MaxIdleConnsPerHost: proxyIdleConns, DisableCompression: true},
		ErrorLog:      log.New(io.Discard, "", 0),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/", p)
	s := &http.Server{Addr: listen, Handler: mux}
	go func() {
		<-ctx.Done()
		shutdown, cancel := context.WithTimeout(context.Background(), proxyShutdownTimeout)
		defer cancel()
		_ = s.Shutdown(shutdown) // the process's end closes what is open after that
	}()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
