// Package fairqueue decides which request of an instance's clients is admitted now, which waits, and which is
// rejected. A Scheduler bounds the requests in flight to one set of endpoints; several schedulers may share their
// clients. It must not import endpoints, which the balancer picks after admission, nor sockets.
//
// Clients share time in flight by weight: a client whose requests take longer gets fewer of them. The algorithm is
// start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996) with several requests in
// service, SFQ(D) (Jin, Chase, Kaur: "Interposed Proportional Sharing for a Storage Service Utility", SIGMETRICS
// 2004): each client has a start tag in virtual time, the client with the least tag is served first (flow.go), and
// each request advances its client's tag by its cost over the client's weight. The cost of a request, its time in
// flight, is known only at its end: the mean of its class (service_time.go) is charged when it starts, and corrected
// when it ends. The scheduler is work-conserving: no request waits while there is capacity.
//
// A Scheduler is a deterministic state machine for one goroutine at a time. Its caller passes events with their
// instants, and then calls Next until there is no decision left.
package fairqueue
