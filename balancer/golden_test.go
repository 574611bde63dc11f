package balancer

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// The golden files under testdata were written by the build of commit 870f4ac, before any field was renamed. Sidecars
// of that build hand over their state in this form, and read it: the files are never written anew.

func filledLearned() *Learned {
	return &Learned{
		Classes: []LearnedClass{
			{Work: Average{V: 5000.5, N: 1e9}, Asked: 20.25, Good: Average{V: 0.75, N: 12}},
			{Work: Average{V: 800, N: 3}, Asked: 0.5, Good: Average{V: 1, N: 1e9}},
		},
		Endpoints: []LearnedEndpoint{
			{
				ID: 7, Start: 1_700_000_000_000_000, RTT: Average{V: 400, N: 9},
				Pace: Average{V: 1.25, N: 1e9}, PaceAge: 12_345,
				Cold: true, ColdAge: 2_000_000, Room: 3.5, Share: 0.25,
				Whole: Ejection{Streak: 4, Left: 900_000, For: 2_000_000, Trial: true},
				Parts: []Ejection{{Streak: 1}, {Left: 2}, {For: 3}, {Trial: true}},
				Base:  1500.5, Current: 1700.25, Window: [][3]int{{9, 7, 2}, {0, 0, 0}, {1, 1, 0}},
			},
			{ID: 8},
		},
		Demand: 120.5, SentWork: 90_000, Refused: 0.125,
		Work: Average{V: 4000, N: 100}, Fleet: Average{V: 1.5, N: 101}, Trend: 1.0625, Trust: 0.5,
		Lag: Average{V: 0.0625, N: 102}, Usual: Average{V: 2.5, N: 103}, Service: Average{V: 3500, N: 104},
		UsualCold: Average{V: 0.25, N: 105}, ReportsLate: true, Watched: 5e6, Renewed: 21, Tenants: []float64{60, 60.5},
	}
}

func TestStoredFormOfLearnedStateIsUnchanged(t *testing.T) {
	for file, value := range map[string]*Learned{
		"learned.json":       filledLearned(),
		"learned_empty.json": {},
	} {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		golden := strings.TrimSpace(readTestdata(t, file))
		if string(text) != golden {
			t.Errorf("%s: encoded as\n%s\nwant\n%s", file, text, golden)
		}
		var decoded Learned
		if err := json.Unmarshal([]byte(golden), &decoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(&decoded, value) {
			t.Errorf("%s: decoded as\n%+v\nwant\n%+v", file, &decoded, value)
		}
	}
}

// A field without a value would not be seen by the test above.
func TestGoldenLearnedStateFillsEachField(t *testing.T) {
	var check func(path string, v reflect.Value)
	check = func(path string, v reflect.Value) {
		switch v.Kind() {
		case reflect.Struct:
			for i := range v.NumField() {
				check(path+"."+v.Type().Field(i).Name, v.Field(i))
			}
		case reflect.Slice:
			if v.Len() == 0 {
				t.Errorf("%s is empty", path)
				return
			}
			check(path+"[0]", v.Index(0))
		default:
			if v.IsZero() {
				t.Errorf("%s has no value", path)
			}
		}
	}
	l := filledLearned()
	l.Endpoints[0].Parts[0] = Ejection{Streak: 1, Left: 2, For: 3, Trial: true} // spread over four there
	check("Learned", reflect.ValueOf(*l))
}

func readTestdata(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
