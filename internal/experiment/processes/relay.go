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

// relay forwards gossip in one direction between two instances, over UDP and TCP. While a partition separates the
// instances, it drops the data. Under a fault that makes messages late, it delays and duplicates UDP packets.
type relay struct {
	run        *run
	from, to   int
	listenAddr string // address to which the sender sends
	targetAddr string // the receiver's gossip address
	udp        net.PacketConn
	tcp        net.Listener
	done       sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func (r *run) newRelay(from, to int) (*relay, error) {
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	rl := &relay{
		run:        r,
		from:       from,
		to:         to,
		listenAddr: addr,
		targetAddr: r.peerAddrs[to],
		conns:      map[net.Conn]struct{}{},
	}
	if rl.tcp, err = net.Listen("tcp", addr); err != nil {
		return nil, err
	}
	if rl.udp, err = net.ListenPacket("udp", addr); err != nil {
		rl.tcp.Close()
		return nil, err
	}
	rl.done.Go(rl.relayPackets)
	rl.done.Go(rl.acceptStreams)
	return rl, nil
}

// isOpen reports whether the relay forwards data now, which it does unless a partition separates the two instances.
func (rl *relay) isOpen() bool {
	plan := rl.run.plan
	return !plan.Partitioned(rl.run.now(), rl.from, rl.to) && !rl.run.isPartitioned(
		plan.Instances[rl.from].Zone, plan.Instances[rl.to].Zone,
	)
}

func (rl *relay) relayPackets() {
	targetConn, err := net.Dial("udp", rl.targetAddr)
	if err != nil {
		rl.run.fail(err)
		return
	}
	defer targetConn.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := rl.udp.ReadFrom(buffer)
		if err != nil {
			return
		}
		if !rl.isOpen() {
			continue
		}
		delay, duplicate := rl.run.plan.MessageDelay(
			rl.run.now(), rl.from, [3]float64{rand.Float64(), rand.Float64(), rand.Float64()},
		)
		if delay == 0 && !duplicate {
			_, _ = targetConn.Write(buffer[:n]) // an error is treated as a lost packet
			continue
		}
		packet := bytes.Clone(buffer[:n])
		rl.sendAfter(delay, func() { _, _ = targetConn.Write(packet) })
		if duplicate {
			rl.sendAfter(monotime.Micros(rand.Float64()*float64(delay)), func() { _, _ = targetConn.Write(packet) })
		}
	}
}

func (rl *relay) acceptStreams() {
	for {
		conn, err := rl.tcp.Accept()
		if err != nil {
			return
		}
		rl.done.Go(func() { rl.relayStream(conn) })
	}
}

// sendAfter calls send after a delay in microseconds.
func (rl *relay) sendAfter(delay monotime.Micros, send func()) {
	time.AfterFunc(time.Duration(delay)*time.Microsecond, send)
}

// relayStream forwards a TCP connection in both directions, and drops the data that arrives during a partition. A
// connection that is opened during a partition gets no response.
func (rl *relay) relayStream(senderConn net.Conn) {
	rl.addConn(senderConn)
	defer rl.closeConn(senderConn)
	if !rl.isOpen() {
		_, _ = io.Copy(io.Discard, senderConn) // blocks until the sender closes the connection
		return
	}
	targetConn, err := net.DialTimeout("tcp", rl.targetAddr, time.Second)
	if err != nil {
		return
	}
	rl.addConn(targetConn)
	defer rl.closeConn(targetConn)
	var copies sync.WaitGroup
	copies.Go(func() { rl.copyWhileOpen(targetConn, senderConn) })
	copies.Go(func() { rl.copyWhileOpen(senderConn, targetConn) })
	copies.Wait()
}

func (rl *relay) copyWhileOpen(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && rl.isOpen() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

func (rl *relay) addConn(conn net.Conn) {
	rl.mu.Lock()
	rl.conns[conn] = struct{}{}
	rl.mu.Unlock()
}

func (rl *relay) closeConn(conn net.Conn) {
	conn.Close()
	rl.mu.Lock()
	delete(rl.conns, conn)
	rl.mu.Unlock()
}

func (rl *relay) close() {
	rl.udp.Close()
	rl.tcp.Close()
	rl.mu.Lock()
	for conn := range rl.conns {
		conn.Close()
	}
	rl.mu.Unlock()
	rl.done.Wait()
}
