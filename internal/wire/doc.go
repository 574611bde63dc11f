// Package wire reads and writes the simulator's binary frames (WIRE) and the settings text that they contain. A batch
// of event records arrives as one frame, and the reply is a frame of action records. The package makes no balancing
// decisions.
//
// The names on the wire are the simulator's, and this package alone maps them to the terms of package balancer: the
// codes and names of events in codes.go, the names of actions in the comments of Reply's methods, the codes of values
// in decoder.go, and the settings in settings.go.
package wire
