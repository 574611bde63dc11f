package cordon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"dunlinsail/internal/monotime"
)

// Sets that have received the same records agree, in whatever order and however often these came: on the latest
// record of each name.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var records []Record
		for range 1 + rng.IntN(20) {
			records = append(records, Record{fmt.Sprint("s-", rng.IntN(4)), rng.IntN(2) == 0,
				monotime.Micros(rng.IntN(30))})
		}
		latest := map[string]Record{}
		for _, record := range records {
			if before, known := latest[record.Name]; !known || record.At > before.At ||
				record.At == before.At && record.Cordoned {
				latest[record.Name] = record
			}
		}
		for range 4 {
			var s Set
			for range 2 {
				rng.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
				for _, record := range records {
					before := s.Cordoned(record.Name)
					if changed := s.Apply(record); changed != (before != s.Cordoned(record.Name)) {
						t.Fatalf("seed %d: %v changed %v", seed, record, changed)
					}
				}
			}
			if len(s.Records()) != len(latest) {
				t.Fatalf("seed %d: %v, want %v", seed, s.Records(), latest)
			}
			for name, record := range latest {
				if s.Cordoned(name) != record.Cordoned || s.LastChange(name) != record.At {
					t.Fatalf("seed %d: %v, want %v", seed, s.Records(), record)
				}
			}
		}
	}
}

// Records that uncordon are forgotten after a while, those that cordon never.
func TestUncordonsAreForgotten(t *testing.T) {
	var s Set
	s.Apply(Record{"s-1", true, 1})
	s.Apply(Record{"s-2", true, 2})
	s.Apply(Record{"s-2", false, 3})
	s.Apply(Record{"s-3", true, 4 + uncordonRetention})
	want := []Record{{"s-1", true, 1}, {"s-3", true, 4 + uncordonRetention}}
	if got := s.Records(); !slices.Equal(got, want) {
		t.Errorf("kept %v, want %v", got, want)
	}
}
