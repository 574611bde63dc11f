// Package observations adds up what the instances of a fleet observe of endpoints and of overload. In a large fleet
// each instance observes little by itself: of a failing endpoint each of hundreds meets a failure now and then, and
// how much load has to be shed shows in a few requests. Together they observe enough within a second.
//
// Local holds what one instance has observed, and Aggregator what the instances report; its Aggregate goes back to
// all of them. Package coordination carries both. An Aggregate is evidence, not a decision: each instance decides by
// itself what to do about it, and goes by its own observations where none arrives.
//
// The types are deterministic, without I/O or a clock, and not safe for concurrent use. The package must not know about
// balancers, sockets, or which instances are alive.
package observations

import (
	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// The tags of the types below are the names on the wire, which all builds share.

// Observations are what one instance reports.
type Observations struct {
	Levels   []OverloadLevel `cbor:"Levels"`
	Outcomes []OutcomeCount  `cbor:"Counts"`
}

// OutcomeCount is how many attempts of a class of requests at an endpoint succeeded and failed lately, decayed with
// time.
type OutcomeCount struct {
	Endpoint  string  `cbor:"Endpoint"`
	Class     int     `cbor:"Class"`
	Succeeded float64 `cbor:"OK"`
	Failed    float64 `cbor:"Failed"`
}

// OverloadLevel is what an instance has observed of the overload of a set of endpoints (package overload) since its
// report before.
type OverloadLevel struct {
	EndpointSet string  `cbor:"Of"`
	Level       float64 `cbor:"Level"` // of load shedding, in 0..1
	Load        float64 `cbor:"Load"`  // fraction of its latency objective that a request spends at endpoints, in 0..1
	Requests    float64 `cbor:"Asked"` // that arrived
	Failed      float64 `cbor:"Vain"`  // of these, the ones that were admitted in vain
}

// Aggregate is what all instances have reported.
type Aggregate struct {
	// Levels has means of Level and Load, weighted by requests, and sums of Requests and Failed since the aggregate
	// before.
	Levels    []OverloadLevel `cbor:"Levels"`
	Reporters int             `cbor:"Members"`  // instances whose reports are in it
	Suspects  []Suspect       `cbor:"Suspects"` // the most suspected first
}

// Suspect is an endpoint that fails much of a class of requests.
type Suspect struct {
	Endpoint         string  `cbor:"Endpoint"`
	Class            int     `cbor:"Class"`
	AvoidProbability float64 `cbor:"Chance"` // with which a request of the class is better sent elsewhere
}
