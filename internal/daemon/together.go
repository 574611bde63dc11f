package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"dunlinsail/internal/clock"
	words "dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/peers"
)

// This file has a generation be one of its fleet's instances: what carries words, and who may ask about it.

// join has the core decide together with the others, where the configuration says so.
func (d *generation) joinCoordination() error {
	t := d.config.Together(d.options.Seed)
	if t == nil {
		return nil
	}
	t.NextIncarnation = rand.Uint64
	t.Send = func(to string, w words.Message) {
		if p := d.gossip.Load(); p != nil { // else it is one that has not begun, or has given its place away
			p.Send(to, w)
		}
	}
	return d.core.JoinFleet(*t)
}

// bindAgain is how often an address is asked for that the process before this one may still have.
const bindRetryInterval = 20 * time.Millisecond

// joinOthers has the instance be among the others. It is for one that serves: no other process of its name is among them.
func (d *generation) startGossip() error {
	c := &d.config.Peers
	if !c.On || d.gossip.Load() != nil {
		return nil
	}
	o := peers.Options{Name: d.config.Name, Fleet: c.Fleet, Address: c.Address, Join: c.Join, DialVia: c.Via(), Log: d.log, HandleMessage: d.core.ReceiveFleetMessage}
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

// leaveOthers ends that. With tell the others are told; without, another process takes its place.
func (d *generation) stopGossip(tell bool) {
	p := d.gossip.Swap(nil)
	if p == nil {
		return
	}
	if tell {
		d.core.HandOverCoordination()
	}
	p.Close(tell)
}

// View is what an instance tells of its fleet.
type View struct {
	Name    string         `json:"Name"`
	Members []peers.Member `json:"Members"`
	Fleet   words.View     `json:"Fleet"`
	Words   peers.Stats    `json:"Words"`
}

// view returns it, as JSON.
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

// spentLog writes a line for each unit that is spent of a budget: the host's time since it came up in microseconds, which all its
// processes read alike, and the budget.
type spentLog struct {
	lines   chan string
	done    chan struct{}
	dropped bool
}

// spentWaiting is how many lines wait for a disk that is slow; beyond that some are missing, and one line says so.
const spentLogBuffer = 1 << 14

func openSpentLog(path string, log *slog.Logger) (*spentLog, error) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	s := &spentLog{lines: make(chan string, spentLogBuffer), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		defer f.Close()
		w := bufio.NewWriter(f)
		for line := range s.lines {
			w.WriteString(line)
			if len(s.lines) > 0 || w.Flush() == nil { // what a process that is killed has spent is to be known
				continue
			}
			// The disk may be full: what is spent is bounded all the same. A writer that has failed writes nothing more.
			log.Error("peers.spent is not kept any more", "file", path)
			for range s.lines {
			}
			return
		}
		w.Flush()
	}()
	return s, nil
}

// note notes a unit. It never waits.
func (s *spentLog) record(_ monotime.Micros, budget string) {
	if s.dropped && len(s.lines) < spentLogBuffer/2 {
		s.dropped = false
		s.lines <- "# some are missing\n"
	}
	select {
	case s.lines <- strconv.FormatInt(clock.BootTime(), 10) + " " + budget + "\n":
	default:
		s.dropped = true
	}
}

func (s *spentLog) close() {
	if s != nil {
		close(s.lines)
		<-s.done
	}
}
