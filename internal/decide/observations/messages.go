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

// OutcomeCount is the number of attempts of a class of requests at an endpoint that succeeded and that failed, with
// exponential decay (outcomeDecayTime).
type OutcomeCount struct {
	Endpoint  string  `cbor:"Endpoint"`
	Class     int     `cbor:"Class"`
	Succeeded float64 `cbor:"OK"`
	Failed    float64 `cbor:"Failed"`
}

// OverloadLevel is what an instance has observed of the overload of a set of endpoints (package overload) since its
// previous report.
type OverloadLevel struct {
	EndpointSet string  `cbor:"Of"`
	Level       float64 `cbor:"Level"` // admission level, in 0..1; 0 if there is none
	Load        float64 `cbor:"Load"`  // fraction of its latency objective that a request spends at endpoints, in 0..1
	Requests    float64 `cbor:"Asked"` // requests that arrived
	Failed      float64 `cbor:"Vain"`  // requests that were admitted and failed
}

// Aggregate is what all instances have reported.
type Aggregate struct {
	// Levels has, by set of endpoints, means of Level and Load weighted by requests, and sums of Requests and Failed
	// since the previous aggregate.
	Levels    []OverloadLevel `cbor:"Levels"`
	Reporters int             `cbor:"Members"`  // number of instances whose reports are included
	Suspects  []Suspect       `cbor:"Suspects"` // the most suspected first
}

// Suspect is an endpoint that fails a much larger part of a class of requests than the other endpoints do.
type Suspect struct {
	Endpoint         string  `cbor:"Endpoint"`
	Class            int     `cbor:"Class"`
	AvoidProbability float64 `cbor:"Chance"` // with which to avoid it for a request of the class
}
