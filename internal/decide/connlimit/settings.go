package connlimit

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Limits are the limits of a Table. All must be positive but MinIdleTime.
type Limits struct {
	MaxConnections int // with and without an open request, of all owners
	MaxIdle        int // without an open request, of all owners; at most MaxConnections

	// A connection may be idle for MaxIdleTime if hardly any others are, and for MinIdleTime if MaxIdle are and its
	// owner has its share of them. In between the time falls linearly (Table.idleTimeout).
	MaxIdleTime monotime.Micros
	MinIdleTime monotime.Micros
}

// Validate returns an error that names the first invalid limit.
func (l Limits) Validate() error {
	switch {
	case l.MaxConnections < 1:
		return fmt.Errorf("total %d: must be positive", l.MaxConnections)
	case l.MaxIdle < 1 || l.MaxIdle > l.MaxConnections:
		return fmt.Errorf("at rest %d: must be in 1..%d, the total", l.MaxIdle, l.MaxConnections)
	case l.MaxIdleTime < 1 || l.MinIdleTime < 0 || l.MinIdleTime > l.MaxIdleTime:
		return fmt.Errorf("idle %d..%d: must be a range that ends above 0", l.MinIdleTime, l.MaxIdleTime)
	}
	return nil
}
