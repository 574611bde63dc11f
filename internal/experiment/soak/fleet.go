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

	mu  sync.Mutex
	rng *rand.Rand // of the endpoints' faults
}

const (
	endpointCount = 4
	serviceTime   = 3 * time.Millisecond
	dedupWindow   = 400 * time.Millisecond // as in the configurations
	faultOneIn    = 20                     // requests

	secondResponseDelay = 5 * time.Millisecond
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

// startFleet starts endpoints whose faults are drawn from rng.
func startFleet(rng *rand.Rand) (*fleet, error) {
	f := &fleet{ledger: &endpoint.Ledger{}, rng: rng}
	for i := range endpointCount {
		s, err := endpoint.Start(endpoint.Options{
			Name:              fmt.Sprint("s-", i),
			ServiceTime:       map[string]time.Duration{"": serviceTime},
			Spread:            0.5,
			IdempotencyWindow: dedupWindow,
			Ledger:            f.ledger,

			SecondResponseDelay:      func() time.Duration { return secondResponseDelay },
			CloseAfterSecondResponse: true,
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
	if f.rng.IntN(faultOneIn) > 0 {
		return endpoint.NoFault
	}
	return faults[f.rng.IntN(len(faults))]
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
