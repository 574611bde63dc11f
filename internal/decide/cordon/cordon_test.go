package cordon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"dunlinsail/internal/monotime"
)

// Sets that have received the same records in different orders, and more than once, contain the same latest records.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		records := randomRecords(rng)
		latest := latestRecords(records)
		for range 4 {
			var s Set
			for range 2 {
				rng.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
				for _, record := range records {
					wasCordoned := s.Cordoned(record.Name)
					if changed := s.Apply(record); changed != (wasCordoned != s.Cordoned(record.Name)) {
						t.Fatalf("seed %d: %v changed %v", seed, record, changed)
					}
				}
			}
			requireRecords(t, seed, &s, latest)
		}
	}
}

// randomRecords returns 1 to 20 records of up to four endpoints. Several records may have the same time.
func randomRecords(rng *rand.Rand) (records []Record) {
	for range 1 + rng.IntN(20) {
		records = append(records, Record{
			fmt.Sprint("s-", rng.IntN(4)),
			rng.IntN(2) == 0,
			monotime.Micros(rng.IntN(30)),
		})
	}
	return records
}

// latestRecords returns the record of each endpoint that takes precedence by the rule of Set.Apply.
func latestRecords(records []Record) map[string]Record {
	latest := map[string]Record{}
	for _, record := range records {
		previous, known := latest[record.Name]
		if !known || record.At > previous.At || record.At == previous.At && record.Cordoned {
			latest[record.Name] = record
		}
	}
	return latest
}

// requireRecords ends the test unless the set contains exactly the wanted records.
func requireRecords(t *testing.T, seed uint64, s *Set, want map[string]Record) {
	t.Helper()
	if len(s.Records()) != len(want) {
		t.Fatalf("seed %d: %v, want %v", seed, s.Records(), want)
	}
	for name, record := range want {
		if s.Cordoned(name) != record.Cordoned || s.LastChange(name) != record.At {
			t.Fatalf("seed %d: %v, want %v", seed, s.Records(), record)
		}
	}
}

// Records of uncordoned endpoints are dropped after uncordonRetention. Records of cordoned endpoints are kept forever.
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
