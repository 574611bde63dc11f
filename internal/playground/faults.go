package playground

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"dunlinsail/internal/fake/endpoint"
)

// logEvent adds a line to the screen's events.
func (p *playground) logEvent(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	p.events = append(p.events, fmt.Sprintf("%4.0f s  %s", time.Since(p.startedAt).Seconds(), text))
	if over := len(p.events) - 6; over > 0 {
		p.events = p.events[over:]
	}
}

// injectFault injects the fault of a second; they repeat every 40 seconds.
func (p *playground) injectFault(second int) {
	last := p.endpoints[len(p.endpoints)-1]
	switch second % 40 {
	case 8:
		p.logEvent("a new daemon process is started, as for an upgrade")
		go func() {
			if err := p.startDaemon(context.Background()); err != nil {
				p.logEvent("%v", err)
			}
		}()
	case 15:
		p.logEvent("%s begins to drain", last.entry.ID)
		last.entry.Lifecycle = "draining"
		p.discovery.Set(last.entry)
	case 18:
		p.logEvent("%s is gone; one in its place starts cold", last.entry.ID)
		last.entry.Lifecycle = "removed"
		p.discovery.Set(last.entry)
		last.Close()
		if n, err := p.startEndpoint(len(p.endpoints) - 1); err == nil {
			p.endpoints[len(p.endpoints)-1] = n
			p.discovery.Set(n.entry)
		}
	case 28:
		p.logEvent("%s fails every booking", p.endpoints[0].entry.ID)
		p.endpoints[0].SetFaults(func(r *http.Request) endpoint.Fault {
			if strings.HasPrefix(r.URL.Path, "/book") {
				return endpoint.InternalError
			}
			return endpoint.NoFault
		})
	case 22:
		p.logEvent("the files' endpoints fail; the agenda's are served as before")
		for _, n := range p.fileEndpoints {
			n.SetFaults(func(*http.Request) endpoint.Fault { return endpoint.InternalError })
		}
	case 26:
		p.logEvent("the files' endpoints are well again")
		for _, n := range p.fileEndpoints {
			n.SetFaults(nil)
		}
	case 35:
		p.logEvent("%s is well again", p.endpoints[0].entry.ID)
		p.endpoints[0].SetFaults(slotTaken)
	}
}

// slotTaken answers one booking in sixteen with 409, as an application whose slot is taken: clients
// receive it unchanged.
func slotTaken(r *http.Request) endpoint.Fault {
	if key := r.Header.Get("Idempotency-Key"); key != "" && key[0] == '7' {
		return endpoint.Conflict
	}
	return endpoint.NoFault
}
