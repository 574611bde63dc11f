// Package wire reads and writes the simulator's binary frames (WIRE) and the settings text in them. A batch of event
// records arrives as one frame, and the reply is a frame of action records. It makes no decisions.
//
// The names on the wire are the simulator's, and are mapped to the terms of package balancer here only: codes and event
// names in codes.go, action names beside the methods of Reply, codes of values in decoder.go, settings in settings.go.
package wire
