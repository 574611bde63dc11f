// Package consensus has instances settle among themselves the order in which machines are taken out (package decide/work): a few of them, the
// voters, keep its log by consensus (go.etcd.io/raft), and all report to whoever leads how far they obey, and are told the order. It decides
// nothing by itself: it is a state machine for one caller at a time, as raft's own is, with time passed in, and does no I/O but by the
// Disk that it is given. It may not know sockets, engines or the operators' calls.
//
// An order that an instance is told holds for a lease from when it asked, so who tells it must lead then. That is made sure of
// for each round of questions by a round to a majority (raft's read index): one that was cut off and does not know that another leads tells nothing.
package consensus
