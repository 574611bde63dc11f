package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/peers"
)

// joinCoordination lets the core coordinate with the other instances of the fleet, if the configuration has a
// fleet. Messages are sent by gossip. They are dropped while gossip does not run, which is before startGossip
// and after a handover.
func (g *generation) joinCoordination() error {
	settings := g.config.Coordination(g.options.Seed)
	if settings == nil {
		return nil
	}
	settings.NextIncarnation = rand.Uint64
	settings.Send = func(to string, message coordination.Message) {
		if gossip := g.gossip.Load(); gossip != nil {
			gossip.Send(to, message)
		}
	}
	return g.core.JoinFleet(*settings)
}

// bindRetryInterval is the time between two attempts to bind an address that the predecessor may still use.
const bindRetryInterval = 20 * time.Millisecond

// startGossip joins the other instances by gossip. Only a generation that serves may call it, because an
// instance must not be in the fleet twice.
func (g *generation) startGossip() error {
	settings := &g.config.Peers
	if !settings.On || g.gossip.Load() != nil {
		return nil
	}
	options := peers.Options{
		Name:          g.config.Name,
		Fleet:         settings.Fleet,
		Address:       settings.Address,
		Join:          settings.Join,
		DialVia:       settings.AddressOverrides(),
		Log:           g.log,
		HandleMessage: g.core.ReceiveFleetMessage,
	}
	if member := g.consensus; member != nil {
		options.HandleConsensus = member.receiveMessage
	}
	var gossip *peers.Peers
	var err error
	for deadline := time.Now().Add(bindTimeout); ; time.Sleep(bindRetryInterval) {
		if gossip, err = peers.Start(options); err == nil || time.Now().After(deadline) {
			break
		}
	}
	if err != nil {
		return err
	}
	g.gossip.Store(gossip)
	return nil
}

// stopGossip stops the gossip of this instance. If announce is true, the other instances are notified that it
// leaves the fleet. Otherwise a successor takes the place of this instance.
func (g *generation) stopGossip(announce bool) {
	gossip := g.gossip.Swap(nil)
	if gossip == nil {
		return
	}
	if announce {
		g.core.HandOverCoordination()
	}
	gossip.Close(announce)
}

// View is an instance's view of its fleet, in the form in which the admin server sends it.
type View struct {
	Name    string            `json:"Name"`
	Members []peers.Member    `json:"Members"`
	Fleet   coordination.View `json:"Fleet"`
	Gossip  peers.Stats       `json:"Words"`
}

// fleetView returns this instance's view of the fleet as JSON.
func (g *generation) fleetView(ctx context.Context) ([]byte, error) {
	gossip := g.gossip.Load()
	if gossip == nil {
		return nil, fmt.Errorf("this instance is among no others: peers.on is false, or it does not serve")
	}
	fleet, _, err := g.core.FleetView(ctx)
	if err != nil {
		return nil, fmt.Errorf("what is known is not to be had in time: %w", err)
	}
	return json.Marshal(View{g.config.Name, gossip.Members(), fleet, gossip.Stats()})
}
