package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/endpoint"
)

// fleet holds the fake endpoints and the fake discovery server of a run.
type fleet struct {
	discovery *discoveryserver.Server
	ledger    *endpoint.Ledger
	endpoints []*endpoint.Server
	instances []discovery.Instance

	secondResponses secondResponses

	mu       sync.Mutex
	faultRNG *rand.Rand // draws the faults of the endpoints; guarded by mu
}

const (
	endpointCount    = 4
	meanServiceTime  = 3 * time.Millisecond
	dedupWindow      = 400 * time.Millisecond // deduplication window, equal to the one in the configurations
	requestsPerFault = 20                     // one in this many requests gets a fault
)

// faults are the faults from which one is drawn for one in requestsPerFault requests.
var faults = []endpoint.Fault{
	endpoint.SecondResponse,
	endpoint.PartialResponse,
	endpoint.LateResponse,
	endpoint.NoResponse,
	endpoint.ConnectionReset,
	endpoint.InternalError,
}

// startFleet starts the endpoints and the discovery server. The endpoints' faults are drawn from rng.
func startFleet(rng *rand.Rand, responses secondResponses) (*fleet, error) {
	f := &fleet{ledger: &endpoint.Ledger{}, faultRNG: rng, secondResponses: responses}
	for i := range endpointCount {
		server, err := endpoint.Start(endpoint.Options{
			Name:              fmt.Sprint("s-", i),
			ServiceTime:       map[string]time.Duration{"": meanServiceTime},
			Spread:            0.5,
			IdempotencyWindow: dedupWindow,
			Ledger:            f.ledger,

			SecondResponseDelay:      f.drawSecondResponseDelay,
			CloseAfterSecondResponse: responses.closeConnection,
		})
		if err != nil {
			return nil, err
		}
		server.SetFaults(f.drawFault)
		f.endpoints = append(f.endpoints, server)
		f.instances = append(f.instances, discovery.Instance{
			ID:        fmt.Sprint("s-", i),
			Address:   server.Addr,
			Zone:      "a",
			Kind:      "m1",
			Cell:      new(uint16(0)),
			Lifecycle: "up",
			Weight:    1,
		})
	}
	var err error
	f.discovery, err = discoveryserver.Start(f.instances...)
	return f, err
}

// drawFault draws the fault of one request, which may be none.
func (f *fleet) drawFault(*http.Request) endpoint.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := endpoint.NoFault
	if f.faultRNG.IntN(requestsPerFault) == 0 {
		fault = faults[f.faultRNG.IntN(len(faults))]
	}
	if fault == endpoint.NoFault && f.secondResponses.drawExtra() {
		fault = endpoint.SecondResponse
	}
	return fault
}

// drawSecondResponseDelay draws how long after the first response one second response is sent.
func (f *fleet) drawSecondResponseDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.secondResponses.drawDelay()
}

// startDraining makes discovery list an endpoint as draining, and returns the endpoint's name. The last two
// endpoints never drain.
func (f *fleet) startDraining(index int) (name string) {
	index %= endpointCount - 2
	f.instances[index].Lifecycle = "draining"
	f.discovery.Set(f.instances[index])
	return f.instances[index].ID
}

// close stops the endpoints and the discovery server.
func (f *fleet) close() {
	for _, server := range f.endpoints {
		server.Close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
}
