package connlimit

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Limits are the limits of a Table. All except MinIdleTime and MaxReservedBytes must be positive.
type Limits struct {
	MaxConnections int // greatest number of connections of all owners, idle or busy
	MaxIdle        int // greatest number of idle connections of all owners; at most MaxConnections

	MaxReservedBytes int64 // greatest number of bytes that are reserved for all connections; 0 is no limit

	// MaxIdleTime is the idle timeout while there are hardly any idle connections. MinIdleTime is the idle
	// timeout while MaxIdle connections are idle and the owner has used its share of them. Between these cases
	// the timeout falls linearly (Table.idleTimeout).
	MaxIdleTime monotime.Micros
	MinIdleTime monotime.Micros
}

// bodyMemoryDivisor is the part of a process's memory that bodies of requests and responses may take, 1/4: garbage and
// all else need the rest.
const bodyMemoryDivisor = 4

// MaxReservedBytes returns Limits.MaxReservedBytes for a process with the given memory in bytes.
func MaxReservedBytes(memory int64) int64 { return memory / bodyMemoryDivisor }

// Validate returns an error that names the first invalid limit, or nil.
func (l Limits) Validate() error {
	switch {
	case l.MaxConnections < 1:
		return fmt.Errorf("total %d: must be positive", l.MaxConnections)
	case l.MaxIdle < 1 || l.MaxIdle > l.MaxConnections:
		return fmt.Errorf("at rest %d: must be in 1..%d, the total", l.MaxIdle, l.MaxConnections)
	case l.MaxReservedBytes < 0:
		return fmt.Errorf("reserved bytes %d: must not be negative", l.MaxReservedBytes)
	case l.MaxIdleTime < 1 || l.MinIdleTime < 0 || l.MinIdleTime > l.MaxIdleTime:
		return fmt.Errorf("idle %d..%d: must be a range that ends above 0", l.MinIdleTime, l.MaxIdleTime)
	}
	return nil
}
