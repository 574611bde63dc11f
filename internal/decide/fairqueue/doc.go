// Package fairqueue decides which request of an instance's clients is admitted now, which one waits, and which
// one is rejected. A Scheduler limits the requests in flight to one set of endpoints; several schedulers may
// share their clients. The package must not import endpoints, which the balancer selects after admission, or
// sockets.
//
// Clients share time in flight by weight: a client whose requests take longer gets fewer of them admitted. The
// algorithm is start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996) with
// several requests in service, SFQ(D) (Jin, Chase, Kaur: "Interposed Proportional Sharing for a Storage Service
// Utility", SIGMETRICS 2004). Each client has a start tag in virtual time, the client with the least tag is
// served first (flow.go), and each request advances its client's tag by the cost of the request divided by the
// client's weight. The cost of a request is its time in flight, which is known only at its end: the mean of its
// class (service_time.go) is charged when it starts, and corrected when it ends. The scheduler is
// work-conserving: no request waits while there is capacity.
//
// A Scheduler is a deterministic state machine and must not be used by several goroutines at once. Its caller
// passes events with their instants, and then calls Next until no decision is left.
package fairqueue
