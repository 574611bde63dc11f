package peers

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's network transport. It dials the addresses of Options.DialVia in place of instances' own
// addresses.
type transport struct {
	*memberlist.NetTransport
	dialVia map[string]string // addresses to dial in place of instances' addresses, by the address replaced
}

// dialAddress returns the address to dial in place of an instance's address, which is the same if dialVia has no
// entry.
func (t *transport) dialAddress(address string) string {
	if replacement, ok := t.dialVia[address]; ok {
		return replacement
	}
	return address
}

// WriteTo implements memberlist.Transport. It sends a packet to the dialAddress of an address.
func (t *transport) WriteTo(packet []byte, address string) (time.Time, error) {
	return t.NetTransport.WriteTo(packet, t.dialAddress(address))
}

// WriteToAddress implements memberlist.NodeAwareTransport. It sends a packet to the dialAddress of an address.
func (t *transport) WriteToAddress(packet []byte, address memberlist.Address) (time.Time, error) {
	address.Addr = t.dialAddress(address.Addr)
	return t.NetTransport.WriteToAddress(packet, address)
}

// DialTimeout implements memberlist.Transport. It connects to the dialAddress of an address.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.dialAddress(address), timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport. It connects to the dialAddress of an address.
func (t *transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	address.Addr = t.dialAddress(address.Addr)
	return t.NetTransport.DialAddressTimeout(address, timeout)
}
