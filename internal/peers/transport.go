package peers

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// ---- Ways ------------------------------------------------------------------

// transport is the library's, with addresses that are reached elsewhere.
type transport struct {
	*memberlist.NetTransport
	via map[string]string
}

func (t *transport) dialAddress(addr string) string {
	if via, ok := t.via[addr]; ok {
		return via
	}
	return addr
}

// WriteTo sends a datagram.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.dialAddress(addr))
}

// WriteToAddress sends a datagram.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = t.dialAddress(a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

// DialTimeout connects.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.dialAddress(addr), timeout)
}

// DialAddressTimeout connects.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	a.Addr = t.dialAddress(a.Addr)
	return t.NetTransport.DialAddressTimeout(a, timeout)
}
