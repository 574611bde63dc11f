package observations

import (
	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// The struct tags of the types in this file are the names on the wire, which all builds share.

// Observations is one instance's report to the allocator.
type Observations struct {
	Levels   []OverloadLevel `cbor:"Levels"`
	Outcomes []OutcomeCount  `cbor:"Counts"`
}

// OutcomeCount contains the numbers of successful and failed attempts at an endpoint for one request class, with
// exponential decay (outcomeDecayTime).
type OutcomeCount struct {
	Endpoint  string  `cbor:"Endpoint"`
	Class     int     `cbor:"Class"`  // number of the request class
	Succeeded float64 `cbor:"OK"`     // decayed number of successful attempts
	Failed    float64 `cbor:"Failed"` // decayed number of failed attempts
}

// OverloadLevel describes the overload of an endpoint set (package overload) that an instance has observed since its
// previous report.
type OverloadLevel struct {
	EndpointSet string  `cbor:"Of"`    // name of the endpoint set
	Level       float64 `cbor:"Level"` // admission level, in 0..1; 0 if there is none
	Load        float64 `cbor:"Load"`  // fraction of its latency objective that a request spends at endpoints, in 0..1
	Requests    float64 `cbor:"Asked"` // number of requests that arrived
	Failed      float64 `cbor:"Vain"`  // number of requests that were admitted and failed
}

// Aggregate combines the reports of all instances.
type Aggregate struct {
	// Levels has one entry for each endpoint set. Its Level and Load are means over the instances, weighted by their
	// requests, and its Requests and Failed are sums since the previous aggregate.
	Levels    []OverloadLevel `cbor:"Levels"`
	Reporters int             `cbor:"Members"`  // number of instances whose reports are included
	Suspects  []Suspect       `cbor:"Suspects"` // sorted by descending AvoidProbability
}

// Suspect is an endpoint that fails a much larger fraction of the requests of a class than other endpoints do.
type Suspect struct {
	Endpoint         string  `cbor:"Endpoint"`
	Class            int     `cbor:"Class"`  // number of the request class
	AvoidProbability float64 `cbor:"Chance"` // probability of avoiding the endpoint for a request of the class
}
