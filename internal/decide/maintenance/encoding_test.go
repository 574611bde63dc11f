package maintenance

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"dunlinsail/internal/monotime"
)

// The files under testdata/encoded and testdata/replay were written by the build of commit 870f4ac, before any tag
// was set on these structures. They are what a raft log on disk holds and what a voter of that build sends: they are
// read here and must never be rewritten.

// fill sets every exported field under v to a value of its own, and returns the number after the last one used. Maps
// get one key, slices two elements: their encodings then do not depend on the order of a map.
func fill(t testing.TB, v reflect.Value, next int) int {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return fill(t, v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				next = fill(t, v.Field(i), next)
			}
		}
		return next
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		next = fill(t, v.Index(0), next)
		return fill(t, v.Index(1), next)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key := reflect.New(v.Type().Key()).Elem()
		value := reflect.New(v.Type().Elem()).Elem()
		next = fill(t, key, next)
		next = fill(t, value, next)
		v.SetMapIndex(key, value)
		return next
	case reflect.String:
		v.SetString(fmt.Sprint("text", next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(next))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(next % 200))
	case reflect.Float64:
		v.SetFloat(float64(next) + 0.25)
	default:
		t.Fatalf("no value for a field of type %v", v.Type())
	}
	return next + 1
}

// encoded returns an empty value of each type of this package that is stored or sent.
func encoded() map[string]any {
	return map[string]any{
		"state":   &State{},
		"command": &Command{},
		"report":  &Report{},
		"told":    &PlanGrant{},
	}
}

// A stored or sent structure has the same bytes as by the build before its fields had tags, and those bytes have
// every field come back.
func TestEncodedFormIsThatOfTheBuildBefore(t *testing.T) {
	for name, empty := range encoded() {
		for _, form := range []string{"empty", "filled"} {
			t.Run(name+"/"+form, func(t *testing.T) {
				value := reflect.New(reflect.TypeOf(empty).Elem())
				if form == "filled" {
					fill(t, value.Elem(), 1)
				}
				want := readGolden(t, filepath.Join("encoded", name+"."+form+".json"))
				got, err := json.Marshal(value.Interface())
				if err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(got, want) {
					t.Errorf("encoded as\n%s\nthe build before has\n%s", got, want)
				}
				back := reflect.New(value.Type().Elem())
				decodeStrict(t, want, back.Interface())
				if !reflect.DeepEqual(back.Interface(), value.Interface()) {
					t.Errorf("decoded as\n%+v\nit was\n%+v", back.Interface(), value.Interface())
				}
			})
		}
	}
}

// A log of the build before has this build come to that build's state, byte for byte, also when the state is stored
// and restored after each of its entries.
func TestLogOfTheBuildBeforeGivesItsState(t *testing.T) {
	want := readGolden(t, filepath.Join("replay", "state.json"))
	direct, err := NewState(replaySettings)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := NewState(replaySettings)
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(filepath.Join("testdata", "replay", "log.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	entries := 0
	for lines := bufio.NewScanner(file); lines.Scan(); entries++ {
		var c Command
		decodeStrict(t, lines.Bytes(), &c)
		again, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(again, lines.Bytes()) {
			t.Errorf("entry %d is encoded as\n%s\nit was\n%s", entries, again, lines.Bytes())
		}
		answer, err := direct.Apply(c)
		answerRestored, errRestored := restored.Apply(c)
		if answer != answerRestored || fmt.Sprint(err) != fmt.Sprint(errRestored) {
			t.Errorf("entry %d: %q, %v; stored and restored %q, %v",
				entries, answer, err, answerRestored, errRestored)
		}
		stored, err := json.Marshal(restored)
		if err != nil {
			t.Fatal(err)
		}
		restored = &State{}
		decodeStrict(t, stored, restored)
		restored.UseSettings(replaySettings)
	}
	if entries == 0 {
		t.Fatal("the log is empty")
	}
	for name, x := range map[string]*State{"applied at once": direct, "stored and restored": restored} {
		got, err := json.Marshal(x)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s: the state is\n%s\nby the build before it was\n%s", name, got, want)
		}
	}
}

// replaySettings are those by which the stored log was applied.
var replaySettings = Settings{
	MaxOut: 2, MaxOutPerZone: 1, MaxOutPerCell: 1, MaxAnnounced: 4, Headroom: 0.1,
	LeaseDuration: monotime.Second, InFlightGrace: monotime.Second, Warmup: 2 * monotime.Second,
}

func readGolden(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSuffix(text, []byte("\n"))
}

func decodeStrict(t testing.TB, text []byte, into any) {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
}
