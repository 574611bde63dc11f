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

// joinCoordination has the core coordinate with the other instances of the fleet, if the configuration has one.
// Messages are sent by gossip, and dropped while it does not run: before startGossip, and after a handover.
func (d *generation) joinCoordination() error {
	t := d.config.Coordination(d.options.Seed)
	if t == nil {
		return nil
	}
	t.NextIncarnation = rand.Uint64
	t.Send = func(to string, m coordination.Message) {
		if p := d.gossip.Load(); p != nil {
			p.Send(to, m)
		}
	}
	return d.core.JoinFleet(*t)
}

// bindRetryInterval is the time between two attempts to bind an address that the predecessor may still have.
const bindRetryInterval = 20 * time.Millisecond

// startGossip joins the other instances by gossip. Only a generation that serves may call it, because an instance must
// not be in the fleet twice.
func (d *generation) startGossip() error {
	c := &d.config.Peers
	if !c.On || d.gossip.Load() != nil {
		return nil
	}
	o := peers.Options{
		Name:          d.config.Name,
		Fleet:         c.Fleet,
		Address:       c.Address,
		Join:          c.Join,
		DialVia:       c.AddressOverrides(),
		Log:           d.log,
		HandleMessage: d.core.ReceiveFleetMessage,
	}
	if x := d.consensus; x != nil {
		o.HandleConsensus = x.receive
	}
	var p *peers.Peers
	var err error
	for end := time.Now().Add(bindTimeout); ; time.Sleep(bindRetryInterval) {
		if p, err = peers.Start(o); err == nil || time.Now().After(end) {
			break
		}
	}
	if err != nil {
		return err
	}
	d.gossip.Store(p)
	return nil
}

// stopGossip leaves the fleet. With announce the other instances are notified; without, a successor takes this
// instance's place.
func (d *generation) stopGossip(announce bool) {
	p := d.gossip.Swap(nil)
	if p == nil {
		return
	}
	if announce {
		d.core.HandOverCoordination()
	}
	p.Close(announce)
}

// View is an instance's view of its fleet, as the admin server sends it.
type View struct {
	Name    string            `json:"Name"`
	Members []peers.Member    `json:"Members"`
	Fleet   coordination.View `json:"Fleet"`
	Gossip  peers.Stats       `json:"Words"`
}

// fleetView returns the view of the fleet as JSON.
func (d *generation) fleetView(ctx context.Context) ([]byte, error) {
	p := d.gossip.Load()
	if p == nil {
		return nil, fmt.Errorf("this instance is among no others: peers.on is false, or it does not serve")
	}
	v, _, err := d.core.FleetView(ctx)
	if err != nil {
		return nil, fmt.Errorf("what is known is not to be had in time: %w", err)
	}
	return json.Marshal(View{d.config.Name, p.Members(), v, p.Stats()})
}
