// Package cordon tracks which endpoints operators have cordoned. A cordoned endpoint must get no new requests until it
// is uncordoned. Package engine keeps a Set and applies it to the balancers of all pools.
//
// A Set contains the latest record of each endpoint. Records from several sources, such as the two processes of a hot
// restart, may arrive in any order and more than once. Sets that have received the same records agree on which
// endpoints are cordoned.
//
// The package is a deterministic state machine without I/O or a clock. It must not depend on endpoint lists or
// balancers.
package cordon

import (
	"cmp"
	"slices"

	"dunlinsail/internal/monotime"
)

// Record is an operator's call to cordon or uncordon an endpoint. The struct tags are the names in takeover messages,
// snapshots and the stored file.
type Record struct {
	Name     string          `json:"Name"` // name of the endpoint
	Cordoned bool            `json:"Out"`  // true for a call to cordon, false for a call to uncordon
	At       monotime.Micros `json:"At"`   // time of the call, by a clock that all sources of records share
}

// Set contains the latest record of each endpoint. The zero value is empty. It is not safe for concurrent use.
type Set struct{ records map[string]Record }

// uncordonRetention is the time for which a record of an uncordoned endpoint is kept. The record is needed because an
// older record that cordons the endpoint may still arrive from another process. Processes exchange records within a
// second.
const uncordonRetention = 60 * monotime.Second

// Apply adds a record to the set, and reports whether the endpoint is now cordoned or uncordoned by it. The later of
// two records of an endpoint takes precedence. Of two records with the same time, the record that cordons takes
// precedence.
func (s *Set) Apply(r Record) (changed bool) {
	previous, known := s.records[r.Name]
	if known && (r.At < previous.At || r.At == previous.At && !r.Cordoned) {
		return false
	}
	if s.records == nil {
		s.records = map[string]Record{}
	}
	s.records[r.Name] = r
	for name, other := range s.records { // records are few: operators cordon only a few endpoints
		if !other.Cordoned && r.At-other.At > uncordonRetention {
			delete(s.records, name)
		}
	}
	return previous.Cordoned != r.Cordoned
}

// Cordoned reports whether an endpoint is cordoned.
func (s *Set) Cordoned(name string) bool { return s.records[name].Cordoned }

// LastChange returns the time of an endpoint's latest record, or 0 if there is none. The time of the endpoint's next
// record must be later.
func (s *Set) LastChange(name string) monotime.Micros { return s.records[name].At }

// Records returns all records, sorted by name.
func (s *Set) Records() []Record {
	sortedRecords := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		sortedRecords = append(sortedRecords, r)
	}
	slices.SortFunc(sortedRecords, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return sortedRecords
}
