package main

import (
	"cmp"
	"flag"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// largeBody is the size of a body, in bytes, from which on an endpoint records that it begins to receive it.
const largeBody = 64 << 10

// spoil sends an answer whose length doesn't fit: it says 500 bytes and has 5. The connection stays open.
func spoil(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\ndone ")
	_, _ = io.Copy(io.Discard, conn) // until the other side closes
	conn.Close()
}

// serveEndpoint is an endpoint: an ordinary HTTP/1.1 application. It runs a request once its last byte has come, which
// it records at once as "run", works on it for a while, and answers 200. With -turn-away it runs nothing and answers
// 503 with X-Never-Ran: 1, as an endpoint does whose queue is full.
func serveEndpoint(args []string) error {
	flags := flag.NewFlagSet("endpoint", flag.ExitOnError)
	address := flags.String("address", "", "where to listen")
	name := flags.String("name", "", "name in the record")
	recordPath := flags.String("record", "", "the record")
	work := flags.Duration("work", 0, "time of work on a request")
	turnAway := flags.Bool("turn-away", false, "run nothing")
	spoilEvery := flags.Int64("spoil-every", 0, "spoil one answer in so many; 0 is none")
	_ = flags.Parse(args)
	rec, err := openRecord(*recordPath)
	if err != nil {
		return err
	}
	var answers atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		id := cmp.Or(r.Header.Get("x-request-id"), r.Header.Get("x-trace-id"))
		switch {
		case id == "": // a probe, which these endpoints do not answer
			w.WriteHeader(http.StatusNotFound)
			return
		case r.ContentLength > largeBody:
			rec.line("endpoint %s receives %s", *name, id)
		}
		body, err := io.ReadAll(r.Body)
		switch {
		case err != nil:
			rec.line("endpoint %s incomplete %s", *name, id)
			return
		case *turnAway:
			rec.line("endpoint %s turned-away %s", *name, id)
			w.Header().Set("x-never-ran", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		rec.line("endpoint %s run %s %d bytes", *name, id, len(body))
		time.Sleep(*work)
		rec.line("endpoint %s done %s", *name, id)
		if *spoilEvery > 0 && answers.Add(1)%*spoilEvery == 0 {
			rec.line("endpoint %s spoils %s", *name, id)
			spoil(w)
			return
		}
		_, _ = io.WriteString(w, "done "+id+"\n")
	}
	rec.line("endpoint %s starts", *name)
	return http.ListenAndServe(*address, http.HandlerFunc(handler))
}
