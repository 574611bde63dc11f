// Package connlimit decides which connections from clients a server keeps open. The inputs are the connections,
// their owners, and which of them have an open request. The package must not import sockets, and does not close
// connections itself: the caller closes the connections that are returned as evicted or expired.
//
// There are two separate limits. Connections with an open request are work in progress, and may use all
// available descriptors. Idle connections only save the time to open new ones, for which a few are enough. Many
// of them would use up the descriptors of client processes, which then could not open another connection to
// send a request. The limit on idle connections is therefore far lower, and the idle timeout shrinks as the
// number of idle connections approaches that limit (eviction.go). An owner within its share of that limit is
// not affected by the idle connections of another.
//
// A connection that seems idle may have a request that has arrived but was not read yet. Closing the connection
// would lose that request. Before a connection is closed, the caller therefore confirms that it is idle (New).
//
// A Table is a deterministic state machine and must not be used by several goroutines at once.
package connlimit
