// Package maintenance decides which machines are taken out for work, in which order, and when nobody sends to one any more. State is the
// order that a fleet's instances settle among themselves: it is built from a log of commands, which all that keep it apply alike.
// Duty is what one instance has to obey of it, Watch what the one that leads knows of how far all instances do. All three are deterministic
// state machines for one caller at a time: no I/O, no clock, no chance. They may not know how a log is agreed on, sockets or balancers.
//
// An instance that is cut off does not hear of the order and must not go on sending to a machine under work. So a machine is told
// **ahead**: nothing is taken out that not every instance was told of as next in line. An order holds at an instance for a lease; one
// whose lease is over sends nothing new to any machine that it knows to be ahead or out, and a while later ends what it still has open
// there. So a machine is free once every instance has either said that it has stopped and has nothing open there, or has had no lease for
// that while, by any clock. How many may be ahead is bounded: that is what an instance that is cut off can lose. An instance that starts sends
// nothing before it has heard an order. docs/design/machines-out.md has the argument at length.
package maintenance
