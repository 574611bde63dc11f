// Package wire reads and writes the simulator's binary frames and the settings text in them. A batch of event records
// comes in as one frame, and a frame of action records answers it. The names of records, fields and settings on the
// wire are the simulator's; the Go names are those of package balancer. It takes no decision.
package wire
