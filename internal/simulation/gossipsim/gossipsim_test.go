package gossipsim

import (
	"testing"
)

// settings are of a run in which twice the budget is wanted.
func settings(members int, seed uint64) Settings {
	return Settings{Members: members, Candidates: 3, Units: 200, Demand: 400, Duration: 44 * second, Seed: seed, Coordination: DefaultSettings()}
}

// In every hard case the sum is within the budget in every second, and once nothing more goes wrong it is used.
func TestCases(t *testing.T) {
	for name, faults := range HardCases(9) {
		for seed := range uint64(3) {
			s := settings(9, seed)
			s.Faults = faults
			r, err := Run(s)
			if err != nil {
				t.Fatal(err)
			}
			if r.UnitsExceeded > 0 {
				t.Errorf("%s, seed %d: %d spent in the second to %d, of 200", name, seed, r.MaxSpent, r.MaxSpentAt)
			}
			if name == "half have less" {
				continue // which budget holds goes by who keeps the book
			}
			var could, spent int
			for _, at := range r.Seconds[37:] {
				could += min(at.Demanded, 200)
				spent += at.Spent
			}
			// Where hardly more is wanted than there is, what one has to spare another lacks for a moment.
			if least := map[bool]int{false: 90, true: 80}[name == "demand moves"]; 100*spent < least*could {
				t.Errorf("%s, seed %d: %d of %d at the end", name, seed, spent, could)
			}
		}
	}
}

func TestRandom(t *testing.T) {
	for seed := range uint64(60) {
		s := settings([]int{1, 2, 5, 20}[seed%4], seed)
		s.Faults = RandomFaults(seed, s.Members, s.Duration)
		r, err := Run(s)
		if err != nil {
			t.Fatal(err)
		}
		if r.UnitsExceeded > 0 {
			t.Errorf("seed %d: %d spent in the second to %d, of 200: %+v", seed, r.MaxSpent, r.MaxSpentAt, s.Faults)
		}
	}
}

// The checker finds each planted error.
func TestPlants(t *testing.T) {
	for _, plant := range PlantedErrors {
		found := 0
		for seed := range uint64(5) {
			s := settings(9, seed)
			s.PlantedError = plant
			if plant == "spends as it starts" {
				s.Coordination.Quota.Reserve = 1 // nothing is lent, and nothing lies idle when one is killed
			}
			s.Faults = HardCases(9)[map[string]string{"slow clocks": "split in halves", "spends as it starts": "killed ten times"}[plant]]
			r, err := Run(s)
			if err != nil {
				t.Fatal(err)
			}
			found += r.UnitsExceeded
		}
		if found == 0 {
			t.Errorf("%s: not found", plant)
		}
	}
}
