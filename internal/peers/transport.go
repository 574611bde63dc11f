package peers

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's transport, with other addresses dialed in place of those in Options.DialVia.
type transport struct {
	*memberlist.NetTransport
	dialVia map[string]string // by address: the address to dial in its place
}

// dialAddress returns the address to dial for an address.
func (t *transport) dialAddress(address string) string {
	if via, ok := t.dialVia[address]; ok {
		return via
	}
	return address
}

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(b []byte, address string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.dialAddress(address))
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = t.dialAddress(a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.dialAddress(address), timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	a.Addr = t.dialAddress(a.Addr)
	return t.NetTransport.DialAddressTimeout(a, timeout)
}
