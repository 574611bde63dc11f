// Package connlimit decides which of its clients' connections a server keeps open. The inputs are connections, their
// owners and which of them have an open request. It must not import sockets, and closes nothing itself: the caller
// closes the connections that are returned as evicted or expired.
//
// There are two separate limits. Connections with an open request are work in progress: they may use as many
// descriptors as there are. Idle connections only save the time to open new ones, and few are enough for that; many
// would use up the descriptors of client processes, which then could not open another connection to send a request.
// So the limit on idle connections is far lower, and the idle timeout shrinks as that limit is neared (eviction.go). An
// owner within its share of that limit is not affected by the idle connections of another.
//
// A connection that seems idle may have a request that has arrived but was not read yet. Closing it would lose that
// request, so the caller confirms before that the connection is idle (New).
//
// A Table is a deterministic state machine for one goroutine at a time.
package connlimit
