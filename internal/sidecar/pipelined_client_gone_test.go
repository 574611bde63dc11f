package sidecar

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dunlinsail/internal/fake/scriptedpeer"
)

// maxStartAfterDisconnect is how long after its client's disconnect an attempt may start at most.
const maxStartAfterDisconnect = 100 * time.Millisecond

// startRecorder records when requests start at an endpoint.
type startRecorder struct {
	mu     sync.Mutex
	starts []time.Time
}

// record records the start of a request.
func (r *startRecorder) record() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, time.Now())
}

// after returns how many requests started after an instant.
func (r *startRecorder) after(instant time.Time) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, start := range r.starts {
		if start.After(instant) {
			count++
		}
	}
	return count
}

// Guards against requests that are sent on after their client has closed its connection with much still unread.
func TestPipelinedRequestsOfClientThatLeft(t *testing.T) {
	const (
		pipelined   = 400
		serviceTime = 3 * time.Millisecond
	)
	ways := map[string]func(c *net.TCPConn){
		"closes":      func(c *net.TCPConn) { c.Close() },
		"resets":      func(c *net.TCPConn) { resetConn(c) },
		"half closes": func(c *net.TCPConn) { c.CloseWrite() },
	}
	for name, leave := range ways {
		for _, class := range []string{"look", "pay"} {
			t.Run(class+" "+name, func(t *testing.T) {
				var recorder startRecorder
				addr := scriptedpeer.StartHTTP(t, func(http.ResponseWriter, *http.Request) {
					recorder.record()
					time.Sleep(serviceTime)
				})
				s := start(t, configureStatic(t, instances(addr)))
				method := http.MethodPost
				if class == "look" {
					method = http.MethodGet
				}
				var requests strings.Builder
				for range pipelined {
					requests.WriteString(requestText(t, request(method, "/"+class, class, 900, "")))
				}
				connectionsBefore := s.openConnections()
				c := s.dial(t).(*net.TCPConn)
				go io.WriteString(c, requests.String()) // ends when the connection does
				readHead(t, c, safeRequest(900))        // the response to the first request
				leave(c)
				left := time.Now()
				scriptedpeer.Eventually(t, "the connection has ended", func() bool {
					return s.openConnections() <= connectionsBefore
				})
				if late := recorder.after(left.Add(maxStartAfterDisconnect)); late > 0 {
					t.Errorf("%d requests started over %v after their client had left", late, maxStartAfterDisconnect)
				}
			})
		}
	}
}
