package sockqueue

import (
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"
)

// Protocol of sock_diag(7), linux/inet_diag.h. All fields but ports and addresses are in native byte order.
const (
	netlinkSockDiag    = 4  // NETLINK_SOCK_DIAG
	sockDiagByFamily   = 20 // SOCK_DIAG_BY_FAMILY
	diagInfo           = 2  // INET_DIAG_INFO, the attribute with struct tcp_info
	diagMemory         = 7  // INET_DIAG_SKMEMINFO, the attribute with the sizes of the socket's buffers
	allStates          = 1<<32 - 1
	noCookie           = 1<<64 - 1
	maxDiagReply       = 2048 // bytes; more than a reply with the attributes asked for has
	queryLength        = syscall.NLMSG_HDRLEN + 56
	queryExtensions    = syscall.NLMSG_HDRLEN + 2
	queryStates        = syscall.NLMSG_HDRLEN + 4
	querySourcePort    = syscall.NLMSG_HDRLEN + 8
	queryTargetPort    = syscall.NLMSG_HDRLEN + 10
	querySourceAddress = syscall.NLMSG_HDRLEN + 12
	queryTargetAddress = syscall.NLMSG_HDRLEN + 28
	queryCookie        = syscall.NLMSG_HDRLEN + 48
	replyWriteQueue    = syscall.NLMSG_HDRLEN + 60 // idiag_wqueue
	replyLength        = syscall.NLMSG_HDRLEN + 72
)

// Layout of struct tcp_info (linux/tcp.h), of which these fields are read of the peer's socket.
const (
	infoNotSent       = 144 // tcpi_notsent_bytes, 32 bits
	infoSent          = 200 // tcpi_bytes_sent, 64 bits
	infoRetransmitted = 208 // tcpi_bytes_retrans, 64 bits
	infoLength        = 216
)

// Layout of the attribute INET_DIAG_SKMEMINFO (linux/sock_diag.h): an array of 32-bit numbers.
const (
	memorySendBuffer     = 12 // SK_MEMINFO_SNDBUF
	memorySendBufferUsed = 20 // SK_MEMINFO_WMEM_QUEUED
	memoryLength         = 24
)

// PeerSocket is the kernel's report on the peer's socket of a connection. Each number is Unknown unless the peer is a
// TCP socket of this host, in the same network namespace.
type PeerSocket struct {
	// Unacknowledged is the number of bytes that the peer has written and that this end has not acknowledged. That
	// includes bytes that have arrived in the last moment.
	Unacknowledged int64
	// Written is the number of bytes that the peer has written since the connection was opened.
	Written int64
	// SendBuffer is the size of the peer's send buffer, and SendBufferUsed how much of it is in use. Both are in bytes
	// of memory, which are more than the bytes that the buffer holds.
	SendBuffer, SendBufferUsed int64
}

var unknownPeer = PeerSocket{
	Unacknowledged: Unknown,
	Written:        Unknown,
	SendBuffer:     Unknown,
	SendBufferUsed: Unknown,
}

// Peer asks the kernel for the peer's socket of a connection.
func Peer(conn net.Conn) PeerSocket {
	local, localIsTCP := conn.LocalAddr().(*net.TCPAddr)
	peer, peerIsTCP := conn.RemoteAddr().(*net.TCPAddr)
	if !localIsTCP || !peerIsTCP || !peer.IP.IsLoopback() && !peer.IP.Equal(local.IP) {
		return unknownPeer
	}
	reply := queryDiag(unmapped(peer), unmapped(local))
	if reply == nil {
		return unknownPeer
	}
	socket := unknownPeer
	socket.Unacknowledged = int64(binary.NativeEndian.Uint32(reply[replyWriteQueue:]))
	if info := findAttribute(reply[replyLength:], diagInfo); len(info) >= infoLength { // since Linux 4.19
		socket.Written = writtenBytes(info)
	}
	if memory := findAttribute(reply[replyLength:], diagMemory); len(memory) >= memoryLength {
		socket.SendBuffer = int64(binary.NativeEndian.Uint32(memory[memorySendBuffer:]))
		socket.SendBufferUsed = int64(binary.NativeEndian.Uint32(memory[memorySendBufferUsed:]))
	}
	return socket
}

// unmapped returns an address whose IP address is of the family that its packets have.
func unmapped(addr *net.TCPAddr) netip.AddrPort {
	mapped := addr.AddrPort()
	return netip.AddrPortFrom(mapped.Addr().Unmap(), mapped.Port())
}

// queryDiag returns the kernel's reply about this host's TCP socket that is connected from source to target, or nil.
func queryDiag(source, target netip.AddrPort) []byte {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return nil
	}
	defer func() { _ = syscall.Close(fd) }()
	kernel := &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}
	if err := syscall.Sendto(fd, diagQuery(source, target), 0, kernel); err != nil {
		return nil
	}
	reply := make([]byte, maxDiagReply)
	n, _, err := syscall.Recvfrom(fd, reply, syscall.MSG_DONTWAIT) // the kernel replies within Sendto
	if err != nil || n < replyLength || binary.NativeEndian.Uint16(reply[4:]) != sockDiagByFamily {
		return nil
	}
	return reply[:n]
}

// writtenBytes returns PeerSocket.Written by the peer's tcp_info.
func writtenBytes(info []byte) int64 {
	notSent := binary.NativeEndian.Uint32(info[infoNotSent:])
	sent := binary.NativeEndian.Uint64(info[infoSent:])
	retransmitted := binary.NativeEndian.Uint64(info[infoRetransmitted:])
	return int64(sent-retransmitted) + int64(notSent)
}

// findAttribute returns the payload of the first attribute of a type (rtnetlink(7)), or nil.
func findAttribute(attributes []byte, attributeType uint16) []byte {
	for len(attributes) >= syscall.SizeofRtAttr {
		length := int(binary.NativeEndian.Uint16(attributes))
		if length < syscall.SizeofRtAttr || length > len(attributes) {
			return nil
		}
		if binary.NativeEndian.Uint16(attributes[2:]) == attributeType {
			return attributes[syscall.SizeofRtAttr:length]
		}
		aligned := (length + syscall.RTA_ALIGNTO - 1) &^ (syscall.RTA_ALIGNTO - 1)
		attributes = attributes[min(aligned, len(attributes)):]
	}
	return nil
}

// diagQuery returns the message that asks the kernel for the TCP socket that is connected from source to target.
func diagQuery(source, target netip.AddrPort) []byte {
	query := make([]byte, queryLength)
	binary.NativeEndian.PutUint32(query, queryLength)
	binary.NativeEndian.PutUint16(query[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(query[6:], syscall.NLM_F_REQUEST)
	query[syscall.NLMSG_HDRLEN] = syscall.AF_INET6
	if source.Addr().Is4() {
		query[syscall.NLMSG_HDRLEN] = syscall.AF_INET
	}
	query[syscall.NLMSG_HDRLEN+1] = syscall.IPPROTO_TCP
	query[queryExtensions] = 1<<(diagInfo-1) | 1<<(diagMemory-1)
	binary.NativeEndian.PutUint32(query[queryStates:], allStates)
	binary.BigEndian.PutUint16(query[querySourcePort:], source.Port())
	binary.BigEndian.PutUint16(query[queryTargetPort:], target.Port())
	copy(query[querySourceAddress:], source.Addr().AsSlice())
	copy(query[queryTargetAddress:], target.Addr().AsSlice())
	binary.NativeEndian.PutUint64(query[queryCookie:], noCookie)
	return query
}
