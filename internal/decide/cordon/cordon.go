// Package cordon decides which endpoints are out by hand. It keeps the latest word on each name; words of several sources,
// as of the two processes of an upgrade, may be told in any order and more than once, and all who have heard the same
// words hold the same. It is a deterministic state machine for one caller at a time and knows neither lists nor balancers.
package cordon

import (
	"cmp"
	"slices"

	"dunlinsail/internal/monotime"
)

// Word is what was said of a name.
type Record struct {
	Name     string          `json:"Name"`
	Cordoned bool            `json:"Out"`
	At       monotime.Micros `json:"At"`
}

// keep is for how long a word that lets a name in is kept: an older one that says out may still be on its way from
// another process. Words travel within a second; a minute is far beyond.
const uncordonRetention monotime.Micros = 60_000_000

// Set is the latest word on each name. The zero value is empty.
type Set struct{ records map[string]Record }

// Say hears a word, and says whether it changed what holds for the name. Of two words the later holds; of two of one
// instant, the one that says out.
func (s *Set) Apply(w Record) (changed bool) {
	was, known := s.records[w.Name]
	if known && (w.At < was.At || w.At == was.At && !w.Cordoned) {
		return false
	}
	if s.records == nil {
		s.records = map[string]Record{}
	}
	s.records[w.Name] = w
	for name, o := range s.records { // few: one each that a hand has touched
		if !o.Cordoned && w.At-o.At > uncordonRetention {
			delete(s.records, name)
		}
	}
	return was.Cordoned != w.Cordoned
}

// Out says whether a name is out.
func (s *Set) Cordoned(name string) bool { return s.records[name].Cordoned }

// Latest returns the instant of the latest word on a name, 0 for none: what is said next must be later.
func (s *Set) LastChange(name string) monotime.Micros { return s.records[name].At }

// Words returns all words that are kept, by name.
func (s *Set) Records() []Record {
	all := make([]Record, 0, len(s.records))
	for _, w := range s.records {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
