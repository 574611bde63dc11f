// Package observations adds up what the instances of a fleet have seen. Each by itself sees little of a fleet that is large: an
// endpoint that fails is met once in a while by each of hundreds, and how much work has to be turned away shows in a few
// requests. Together they have seen enough within a second. Own holds what one instance has seen, Sum what all have; what Sum
// says is evidence only: whoever hears it decides by itself, and goes on by its own where nothing is heard. It is deterministic,
// for one caller at a time: no I/O, no clock. It may not know balancers, sockets or who is alive.
package observations

import (
	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Count is how often attempts of a class of requests at an endpoint ended well and not, lately.
type OutcomeCount struct {
	Endpoint  string  `cbor:"Endpoint"`
	Class     int     `cbor:"Class"`
	Succeeded float64 `cbor:"OK"`
	Failed    float64 `cbor:"Failed"`
}

// Level is what an instance has met in turning work away from one set of endpoints (package overload) since it told last.
type OverloadLevel struct {
	EndpointSet string  `cbor:"Of"`    // the set's name
	Level       float64 `cbor:"Level"` // at which it is
	Load        float64 `cbor:"Load"`  // the part of its aim that a request spends at endpoints
	Requests    float64 `cbor:"Asked"` // requests that came, and of these such as went on
	Failed      float64 `cbor:"Vain"`  // in vain
}

// Seen is what one instance has seen.
type Observations struct {
	Levels   []OverloadLevel `cbor:"Levels"`
	Outcomes []OutcomeCount  `cbor:"Counts"`
}

// Suspect is an endpoint that fails much of a class of requests.
type Suspect struct {
	Endpoint         string  `cbor:"Endpoint"`
	Class            int     `cbor:"Class"`
	AvoidProbability float64 `cbor:"Chance"` // with which it is better left out
}

// All is what all instances have seen.
type Aggregate struct {
	Levels   []OverloadLevel `cbor:"Levels"`  // means of levels and loads by what is asked for; sums of the others since All was called last
	Members  int             `cbor:"Members"` // that it is of
	Suspects []Suspect       `cbor:"Suspects"`
}
