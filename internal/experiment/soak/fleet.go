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

// fleet is the endpoints and discovery of a run.
type fleet struct {
	discovery *discoveryserver.Server
	ledger    *endpoint.Ledger
	endpoints []*endpoint.Server
	entries   []discovery.Instance

	secondResponses secondResponses

	mu  sync.Mutex
	rng *rand.Rand // of the endpoints' faults
}

const (
	endpointCount = 4
	serviceTime   = 3 * time.Millisecond
	dedupWindow   = 400 * time.Millisecond // as in the configurations
	faultOneIn    = 20                     // requests
)

// faults are what endpoints do to one of faultOneIn requests.
var faults = []endpoint.Fault{
	endpoint.SecondResponse,
	endpoint.PartialResponse,
	endpoint.LateResponse,
	endpoint.NoResponse,
	endpoint.ConnectionReset,
	endpoint.InternalError,
}

// startFleet starts endpoints whose faults are drawn from rng, and whose second responses are as given.
func startFleet(rng *rand.Rand, second secondResponses) (*fleet, error) {
	f := &fleet{ledger: &endpoint.Ledger{}, rng: rng, secondResponses: second}
	for i := range endpointCount {
		s, err := endpoint.Start(endpoint.Options{
			Name:              fmt.Sprint("s-", i),
			ServiceTime:       map[string]time.Duration{"": serviceTime},
			Spread:            0.5,
			IdempotencyWindow: dedupWindow,
			Ledger:            f.ledger,

			SecondResponseDelay:      f.drawSecondResponseDelay,
			CloseAfterSecondResponse: second.closeConnection,
		})
		if err != nil {
			return nil, err
		}
		s.SetFaults(f.drawFault)
		f.endpoints = append(f.endpoints, s)
		f.entries = append(f.entries, discovery.Instance{
			ID:        fmt.Sprint("s-", i),
			Address:   s.Addr,
			Zone:      "a",
			Kind:      "m1",
			Lifecycle: "up",
			Weight:    1,
		})
	}
	var err error
	f.discovery, err = discoveryserver.Start(f.entries...)
	return f, err
}

// drawFault draws the fault of one request.
func (f *fleet) drawFault(*http.Request) endpoint.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := endpoint.NoFault
	if f.rng.IntN(faultOneIn) == 0 {
		fault = faults[f.rng.IntN(len(faults))]
	}
	if fault == endpoint.NoFault && f.secondResponses.drawExtra() {
		fault = endpoint.SecondResponse
	}
	return fault
}

// drawSecondResponseDelay draws the delay of one second response.
func (f *fleet) drawSecondResponseDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.secondResponses.drawDelay()
}

// drain lists an endpoint as draining, and returns its name. Two endpoints always stay up.
func (f *fleet) drain(i int) (name string) {
	i %= endpointCount - 2
	f.entries[i].Lifecycle = "draining"
	f.discovery.Set(f.entries[i])
	return f.entries[i].ID
}

// close stops the endpoints and discovery.
func (f *fleet) close() {
	for _, s := range f.endpoints {
		s.Close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
}
