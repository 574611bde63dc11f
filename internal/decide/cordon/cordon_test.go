package cordon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"dunlinsail/internal/monotime"
)

// Whoever has heard the same words holds the same, in whatever order and however often they came; and that is the
// latest word on each name.
func TestOrderDoesNotMatter(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var words []Record
		for range 1 + rng.IntN(20) {
			words = append(words, Record{fmt.Sprint("s-", rng.IntN(4)), rng.IntN(2) == 0, monotime.Micros(rng.IntN(30))})
		}
		latest := map[string]Record{}
		for _, w := range words {
			if o, known := latest[w.Name]; !known || w.At > o.At || w.At == o.At && w.Cordoned {
				latest[w.Name] = w
			}
		}
		for range 4 {
			var s Set
			for range 2 {
				rng.Shuffle(len(words), func(i, j int) { words[i], words[j] = words[j], words[i] })
				for _, w := range words {
					before := s.Cordoned(w.Name)
					if changed := s.Apply(w); changed != (before != s.Cordoned(w.Name)) {
						t.Fatalf("seed %d: %v changed %v", seed, w, changed)
					}
				}
			}
			if len(s.Records()) != len(latest) {
				t.Fatalf("seed %d: %v, want %v", seed, s.Records(), latest)
			}
			for name, w := range latest {
				if s.Cordoned(name) != w.Cordoned || s.LastChange(name) != w.At {
					t.Fatalf("seed %d: %v, want %v", seed, s.Records(), w)
				}
			}
		}
	}
}

// Words that let in are forgotten after a while, those that say out never.
func TestForgets(t *testing.T) {
	var s Set
	s.Apply(Record{"s-1", true, 1})
	s.Apply(Record{"s-2", true, 2})
	s.Apply(Record{"s-2", false, 3})
	s.Apply(Record{"s-3", true, 4 + uncordonRetention})
	if got, want := s.Records(), []Record{{"s-1", true, 1}, {"s-3", true, 4 + uncordonRetention}}; !slices.Equal(got, want) {
		t.Errorf("kept %v, want %v", got, want)
	}
}
