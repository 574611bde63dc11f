package processes

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/peers"
	"dunlinsail/internal/simulation"
)

// This file has the daemons know of one another: an address for each, a relay on each way between two of them where something
// goes wrong on those, and what all of them spent of the fleet's budgets, joined.

// relay is the way from one instance to another: what is sent to it goes on to that, unless the plan has nothing pass.
type relay struct {
	run      *run
	from, to int
	addr     string // where the one finds the other
	target   string // and where that is
	udp      net.PacketConn
	tcp      net.Listener
	done     sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func (r *run) newRelay(from, to int) (*relay, error) {
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	y := &relay{run: r, from: from, to: to, addr: addr, target: r.peerAddrs[to], conns: map[net.Conn]struct{}{}}
	if y.tcp, err = net.Listen("tcp", addr); err != nil {
		return nil, err
	}
	if y.udp, err = net.ListenPacket("udp", addr); err != nil {
		y.tcp.Close()
		return nil, err
	}
	y.done.Go(y.relayPackets)
	y.done.Go(y.acceptStreams)
	return y, nil
}

// passes says whether anything gets from the one to the other now.
func (y *relay) isOpen() bool {
	p := y.run.plan
	return !p.Partitioned(y.run.now(), y.from, y.to) && !y.run.isPartitioned(p.Instances[y.from].Zone, p.Instances[y.to].Zone)
}

func (y *relay) relayPackets() {
	out, err := net.Dial("udp", y.target)
	if err != nil {
		y.run.fail(err)
		return
	}
	defer out.Close()
	b := make([]byte, 64<<10)
	for {
		n, _, err := y.udp.ReadFrom(b)
		if err != nil {
			return
		}
		if !y.isOpen() {
			continue
		}
		more, twice := y.run.plan.MessageDelay(y.run.now(), y.from, [3]float64{rand.Float64(), rand.Float64(), rand.Float64()})
		if more == 0 && !twice {
			_, _ = out.Write(b[:n]) // that nobody listens there is as if it were lost
			continue
		}
		text := bytes.Clone(b[:n])
		y.sendAfter(more, func() { _, _ = out.Write(text) })
		if twice {
			y.sendAfter(monotime.Micros(rand.Float64()*float64(more)), func() { _, _ = out.Write(text) })
		}
	}
}

func (y *relay) acceptStreams() {
	for {
		c, err := y.tcp.Accept()
		if err != nil {
			return
		}
		y.done.Go(func() { y.relayStream(c) })
	}
}

// later does something after a while, unless the run is over by then.
func (y *relay) sendAfter(after monotime.Micros, do func()) {
	time.AfterFunc(time.Duration(after)*time.Microsecond, do)
}

// stream takes a connection on. Where nothing passes it hears nothing, as its caller would on a way that is cut.
func (y *relay) relayStream(c net.Conn) {
	y.addConn(c)
	defer y.closeConn(c)
	if !y.isOpen() {
		_, _ = io.Copy(io.Discard, c) // until its end
		return
	}
	to, err := net.DialTimeout("tcp", y.target, time.Second)
	if err != nil {
		return
	}
	y.addConn(to)
	defer y.closeConn(to)
	var both sync.WaitGroup
	both.Go(func() { y.copyWhileOpen(to, c) })
	both.Go(func() { y.copyWhileOpen(c, to) })
	both.Wait()
}

func (y *relay) copyWhileOpen(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && y.isOpen() {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

func (y *relay) addConn(c net.Conn) {
	y.mu.Lock()
	y.conns[c] = struct{}{}
	y.mu.Unlock()
}

func (y *relay) closeConn(c net.Conn) {
	c.Close()
	y.mu.Lock()
	delete(y.conns, c)
	y.mu.Unlock()
}

func (y *relay) close() {
	y.udp.Close()
	y.tcp.Close()
	y.mu.Lock()
	for c := range y.conns {
		c.Close()
	}
	y.mu.Unlock()
	y.done.Wait()
}

// together makes the addresses of instances that know of one another, and the relays between them.
func (r *run) setUpPeers() error {
	if !r.config.Peers.On || isSidecar(r.options.Daemon) {
		return nil
	}
	for range r.plan.Instances {
		addr, err := freeport.Free()
		if err != nil {
			return err
		}
		r.peerAddrs = append(r.peerAddrs, addr)
	}
	partitioned := false
	for i := range r.plan.PlannedEvents {
		what := r.plan.PlannedEvents[i].What
		partitioned = partitioned || what == "part" || what == "cut" || what == "late-words"
	}
	for i := range r.plan.Instances {
		for j := range r.plan.Instances {
			if partitioned && i != j {
				y, err := r.newRelay(i, j)
				if err != nil {
					return err
				}
				r.relays = append(r.relays, y)
			}
		}
	}
	return nil
}

// peersTable is an instance's, of its file.
func (r *run) fillPeersTable(in *instance, of map[string]any) map[string]any {
	lenders := simulation.QuotaCandidates(r.config.Peers.Allocators, len(r.plan.Instances))
	var join, ways []any
	for i, addr := range r.peerAddrs {
		if i != in.index && i < len(lenders) {
			join = append(join, addr)
		}
	}
	for _, y := range r.relays {
		if y.from == in.index {
			ways = append(ways, r.peerAddrs[y.to]+"="+y.addr)
		}
	}
	of["lenders"] = lenders
	of["address"], of["join"], of["ways"] = r.peerAddrs[in.index], join, ways
	return of
}

// limits says whether tenants have limits that daemons hold.
func (r *run) hasTenantLimits() bool {
	return !isSidecar(r.options.Daemon) && slices.ContainsFunc(r.config.Tenants, func(t config.Tenant) bool { return t.RateLimit > 0 })
}

func (r *run) spentPath(n int) string { return filepath.Join(r.workDir, fmt.Sprintf("spent-%d", n)) }

// spent takes in what all processes spent, by the host's clock that they all read.
func (r *run) readSpent() error {
	if !r.hasTenantLimits() {
		return nil
	}
	zero := clock.BootTime() - r.now()
	for n := range r.instances {
		f, err := os.Open(r.spentPath(n))
		if err != nil {
			return err
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			at, budget, ok := strings.Cut(lines.Text(), " ")
			v, err := strconv.ParseInt(at, 10, 64)
			if !ok || err != nil {
				continue // cut off by a kill
			}
			r.meter.QuotaSpent(v-zero, budget)
		}
		f.Close()
	}
	return nil
}

// liars is how many instances that serve nobody this run has beside its own.
func (r *run) misreporterCount() (n int) {
	for i := range r.plan.PlannedEvents {
		n += map[bool]int{true: 1}[r.plan.PlannedEvents[i].What == "liar"]
	}
	return n
}

// lie has one more instance be among the others, which says that it wants so many times what nobody asks it for, until stop.
func (r *run) startMisreporter(times float64) (stop func(), err error) {
	t := r.config.Coordination(1)
	if t == nil {
		return nil, errors.New("a liar needs instances that know of one another")
	}
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	f := t.Settings
	f.Self, f.Candidates, f.Quota.MaxInstances = fmt.Sprint("instance-", len(r.plan.Instances)), simulation.QuotaCandidates(f.Candidates, len(r.plan.Instances)), len(r.plan.Instances)+r.misreporterCount()
	m, err := coordination.New(f)
	if err != nil {
		return nil, err
	}
	for _, tenant := range r.config.Tenants {
		m.SetBudget("tenant/"+tenant.Name, tenant.RateLimit, false)
	}
	var mu sync.Mutex // guards m
	p, err := peers.Start(peers.Options{Name: f.Self, Fleet: r.config.Peers.Fleet, Address: addr, Join: r.peerAddrs[:len(f.Candidates)], Log: slog.New(slog.DiscardHandler),
		HandleMessage: func(from string, w coordination.Message) {
			mu.Lock()
			defer mu.Unlock()
			m.Receive(clock.BootTime(), from, w)
		}})
	if err != nil {
		return nil, err
	}
	m.Start(clock.BootTime(), rand.Uint64())
	ended := make(chan struct{})
	turn := time.NewTicker(10 * time.Millisecond)
	var done sync.WaitGroup
	done.Go(func() {
		for {
			select {
			case <-turn.C:
			case <-ended:
				return
			}
			mu.Lock()
			m.Tick(clock.BootTime())
			out := m.TakeOutgoing()
			mu.Unlock()
			for _, o := range out {
				if o.Message.Request != nil {
					for i := range o.Message.Request.Demands {
						o.Message.Request.Demands[i].Requested, o.Message.Request.Demands[i].Contributed = times, times
					}
				}
				p.Send(o.To, o.Message)
			}
		}
	})
	return func() {
		turn.Stop()
		close(ended)
		done.Wait()
		p.Close(true)
	}, nil
}

// relimit has instances read their files again, with so many times the tenants' limits.
func (r *run) scaleTenantLimits(instances []int, times float64) {
	for _, n := range instances {
		in := r.instances[n]
		text, err := r.daemonConfig(in)
		if err == nil {
			var doc map[string]any
			if err = toml.Unmarshal(text, &doc); err == nil {
				tenants, _ := doc["tenant"].([]any)
				for _, t := range tenants {
					if table, _ := t.(map[string]any); table["limit"] != nil {
						for _, tenant := range r.config.Tenants {
							if tenant.Name == table["name"] {
								table["limit"] = max(1, times*tenant.RateLimit)
							}
						}
					}
				}
				if text, err = toml.Marshal(doc); err == nil {
					err = os.WriteFile(in.configPath, text, 0o600)
				}
			}
		}
		if err != nil {
			r.fail(err)
			return
		}
		in.signal(syscall.SIGHUP)
	}
}
