package processes

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/monotime"
)

// relay forwards gossip from one instance to another, over UDP and TCP, unless a fault of the plan blocks it.
type relay struct {
	run      *run
	from, to int
	addr     string // that the sender uses
	target   string // the receiver's own address
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

// isOpen reports whether messages pass now.
func (y *relay) isOpen() bool {
	p := y.run.plan
	return !p.Partitioned(y.run.now(), y.from, y.to) && !y.run.isPartitioned(
		p.Instances[y.from].Zone, p.Instances[y.to].Zone,
	)
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
		delay, duplicate := y.run.plan.MessageDelay(
			y.run.now(), y.from, [3]float64{rand.Float64(), rand.Float64(), rand.Float64()},
		)
		if delay == 0 && !duplicate {
			_, _ = out.Write(b[:n]) // an unreachable receiver is as a lost packet
			continue
		}
		packet := bytes.Clone(b[:n])
		y.sendAfter(delay, func() { _, _ = out.Write(packet) })
		if duplicate {
			y.sendAfter(monotime.Micros(rand.Float64()*float64(delay)), func() { _, _ = out.Write(packet) })
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

// sendAfter calls send after a delay in microseconds.
func (y *relay) sendAfter(after monotime.Micros, do func()) {
	time.AfterFunc(time.Duration(after)*time.Microsecond, do)
}

// relayStream forwards a connection. While messages do not pass it accepts data and answers nothing.
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
