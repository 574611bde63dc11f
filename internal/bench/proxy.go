package bench

import (
	"context"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

// Proxy serves net/http/httputil.ReverseProxy over endpoints in turn until ctx ends: what the program under
// test is compared with.
func Proxy(ctx context.Context, listen string, addrs []string) error {
	var next atomic.Uint64
	p := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: addrs[next.Add(1)%uint64(len(addrs))]})
			r.Out.Host = r.In.Host
		},
		FlushInterval: -1, // as it comes
		Transport:     &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
		ErrorLog:      log.New(io.Discard, "", 0),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/", p)
	s := &http.Server{Addr: listen, Handler: mux}
	go func() {
		<-ctx.Done()
		end, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(end) // what is open after that is cut by the process's end
	}()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
