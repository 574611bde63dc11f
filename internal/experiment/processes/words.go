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
	at       string // and where that is
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
	y := &relay{run: r, from: from, to: to, addr: addr, at: r.peers[to], conns: map[net.Conn]struct{}{}}
	if y.tcp, err = net.Listen("tcp", addr); err != nil {
		return nil, err
	}
	if y.udp, err = net.ListenPacket("udp", addr); err != nil {
		y.tcp.Close()
		return nil, err
	}
	y.done.Go(y.packets)
	y.done.Go(y.streams)
	return y, nil
}

// passes says whether anything gets from the one to the other now.
func (y *relay) passes() bool {
	p := y.run.plan
	return !p.Partitioned(y.run.now(), y.from, y.to) && !y.run.cut(p.Instances[y.from].Zone, p.Instances[y.to].Zone)
}

func (y *relay) packets() {
	out, err := net.Dial("udp", y.at)
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
		if !y.passes() {
			continue
		}
		more, twice := y.run.plan.MessageDelay(y.run.now(), y.from, [3]float64{rand.Float64(), rand.Float64(), rand.Float64()})
		if more == 0 && !twice {
			_, _ = out.Write(b[:n]) // that nobody listens there is as if it were lost
			continue
		}
		text := bytes.Clone(b[:n])
		y.later(more, func() { _, _ = out.Write(text) })
		if twice {
			y.later(monotime.Micros(rand.Float64()*float64(more)), func() { _, _ = out.Write(text) })
		}
	}
}

func (y *relay) streams() {
	for {
		c, err := y.tcp.Accept()
		if err != nil {
			return
		}
		y.done.Go(func() { y.stream(c) })
	}
}

// later does something after a while, unless the run is over by then.
func (y *relay) later(after monotime.Micros, do func()) {
	time.AfterFunc(time.Duration(after)*time.Microsecond, do)
}

// stream takes a connection on. Where nothing passes it hears nothing, as its caller would on a way that is cut.
func (y *relay) stream(c net.Conn) {
	y.keep(c)
	defer y.drop(c)
	if !y.passes() {
		_, _ = io.Copy(io.Discard, c) // until its end
		return
	}
	to, err := net.DialTimeout("tcp", y.at, time.Second)
	if err != nil {
		return
	}
	y.keep(to)
	defer y.drop(to)
	var both sync.WaitGroup
	both.Go(func() { y.copy(to, c) })
	both.Go(func() { y.copy(c, to) })
	both.Wait()
}

func (y *relay) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && y.passes() {
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

func (y *relay) keep(c net.Conn) {
	y.mu.Lock()
	y.conns[c] = struct{}{}
	y.mu.Unlock()
}

func (y *relay) drop(c net.Conn) {
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
func (r *run) together() error {
	if !r.own.Peers.On || isSidecar(r.o.Daemon) {
		return nil
	}
	for range r.plan.Instances {
		addr, err := freeport.Free()
		if err != nil {
			return err
		}
		r.peers = append(r.peers, addr)
	}
	parted := false
	for i := range r.plan.PlannedEvents {
		what := r.plan.PlannedEvents[i].What
		parted = parted || what == "part" || what == "cut" || what == "late-words"
	}
	for i := range r.plan.Instances {
		for j := range r.plan.Instances {
			if parted && i != j {
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
func (r *run) peersTable(in *instance, of map[string]any) map[string]any {
	lenders := simulation.QuotaCandidates(r.own.Peers.Allocators, len(r.plan.Instances))
	var join, ways []any
	for i, addr := range r.peers {
		if i != in.n && i < len(lenders) {
			join = append(join, addr)
		}
	}
	for _, y := range r.relays {
		if y.from == in.n {
			ways = append(ways, r.peers[y.to]+"="+y.addr)
		}
	}
	of["lenders"] = lenders
	of["address"], of["join"], of["ways"] = r.peers[in.n], join, ways
	return of
}

// limits says whether tenants have limits that daemons hold.
func (r *run) limits() bool {
	return !isSidecar(r.o.Daemon) && slices.ContainsFunc(r.own.Tenants, func(t config.Tenant) bool { return t.RateLimit > 0 })
}

func (r *run) spentPath(n int) string { return filepath.Join(r.dir, fmt.Sprintf("spent-%d", n)) }

// spent takes in what all processes spent, by the host's clock that they all read.
func (r *run) spent() error {
	if !r.limits() {
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
func (r *run) liars() (n int) {
	for i := range r.plan.PlannedEvents {
		n += map[bool]int{true: 1}[r.plan.PlannedEvents[i].What == "liar"]
	}
	return n
}

// lie has one more instance be among the others, which says that it wants so many times what nobody asks it for, until stop.
func (r *run) lie(times float64) (stop func(), err error) {
	t := r.own.Coordination(1)
	if t == nil {
		return nil, errors.New("a liar needs instances that know of one another")
	}
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	f := t.Settings
	f.Self, f.Candidates, f.Quota.MaxInstances = fmt.Sprint("instance-", len(r.plan.Instances)), simulation.QuotaCandidates(f.Candidates, len(r.plan.Instances)), len(r.plan.Instances)+r.liars()
	m, err := coordination.New(f)
	if err != nil {
		return nil, err
	}
	for _, tenant := range r.own.Tenants {
		m.SetBudget("tenant/"+tenant.Name, tenant.RateLimit, false)
	}
	var mu sync.Mutex // guards m
	p, err := peers.Start(peers.Options{Name: f.Self, Fleet: r.own.Peers.Fleet, Address: addr, Join: r.peers[:len(f.Candidates)], Log: slog.New(slog.DiscardHandler),
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
func (r *run) relimit(instances []int, times float64) {
	for _, n := range instances {
		in := r.instances[n]
		text, err := r.file(in)
		if err == nil {
			var doc map[string]any
			if err = toml.Unmarshal(text, &doc); err == nil {
				tenants, _ := doc["tenant"].([]any)
				for _, t := range tenants {
					if table, _ := t.(map[string]any); table["limit"] != nil {
						for _, tenant := range r.own.Tenants {
							if tenant.Name == table["name"] {
								table["limit"] = max(1, times*tenant.RateLimit)
							}
						}
					}
				}
				if text, err = toml.Marshal(doc); err == nil {
					err = os.WriteFile(in.config, text, 0o600)
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
