// Package cordon decides which endpoints operators have cordoned: those that must get no new requests until they are
// uncordoned. Package engine keeps a Set and applies it to the balancers of all pools.
//
// A Set has the latest record of each endpoint name. Records of several sources, such as the two processes of a hot
// restart, may arrive in any order and more than once. Sets that have received the same records agree.
//
// The package is a deterministic state machine without I/O or a clock, and must not know about endpoint lists or
// balancers.
package cordon

import (
	"cmp"
	"slices"

	"dunlinsail/internal/monotime"
)

// Record is an operator's call to cordon or uncordon an endpoint. Its tags are the names in takeover messages,
// snapshots and the stored file.
type Record struct {
	Name     string          `json:"Name"`
	Cordoned bool            `json:"Out"` // false uncordons the endpoint
	At       monotime.Micros `json:"At"`  // instant of the call, by the clock that all sources of records share
}

// Set is the latest record of each endpoint name. The zero value is empty. It is not safe for concurrent use.
type Set struct{ records map[string]Record }

// uncordonRetention is the time for which a record that uncordons an endpoint is kept. An older record that cordons the
// endpoint may still arrive from another process; records are exchanged within a second.
const uncordonRetention = 60 * monotime.Second

// Apply applies a record, and reports whether that cordons or uncordons the endpoint. Of two records of an endpoint the
// later one wins; of two of the same instant, the one that cordons.
func (s *Set) Apply(r Record) (changed bool) {
	previous, known := s.records[r.Name]
	if known && (r.At < previous.At || r.At == previous.At && !r.Cordoned) {
		return false
	}
	if s.records == nil {
		s.records = map[string]Record{}
	}
	s.records[r.Name] = r
	for name, other := range s.records { // there are few: only endpoints that an operator has cordoned
		if !other.Cordoned && r.At-other.At > uncordonRetention {
			delete(s.records, name)
		}
	}
	return previous.Cordoned != r.Cordoned
}

// Cordoned reports whether an endpoint is cordoned.
func (s *Set) Cordoned(name string) bool { return s.records[name].Cordoned }

// LastChange returns the instant of an endpoint's latest record, 0 if there is none. The next record must be later.
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
