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

	"dunlinsail/internal/fake/golden"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

// The files under testdata/encoded and testdata/replay were written by the build of commit 870f4ac, before the
// types of this package had JSON tags. They have the format of that build's raft logs on disk and of its
// messages between voters, and must never be rewritten.

// emptyEncodedValues returns an empty value of each type that is stored or sent. The keys are the names of the types in
// the names of golden files.
func emptyEncodedValues() map[string]any {
	return map[string]any{
		"state":   &State{},
		"command": &Command{},
		"report":  &Report{},
		"told":    &PlanGrant{},
	}
}

// TestEncodedFormIsThatOfTheBuildBefore verifies that each type that is stored or sent is encoded to the same bytes as
// in the build before the types had JSON tags, and that every field is decoded from these bytes.
func TestEncodedFormIsThatOfTheBuildBefore(t *testing.T) {
	for name, emptyValue := range emptyEncodedValues() {
		for _, variant := range []string{"empty", "filled"} {
			t.Run(name+"/"+variant, func(t *testing.T) {
				value := reflect.New(reflect.TypeOf(emptyValue).Elem()).Interface()
				if variant == "filled" {
					golden.Fill(t, value)
				}
				golden.CheckJSON(t, golden.ReadLine(t, "encoded", name+"."+variant+".json"), value)
			})
		}
	}
}

// TestLogOfTheBuildBeforeGivesItsState verifies that a log written by the build before the types had JSON tags leads to
// the same state as in that build, byte for byte. The same must be true if the state is stored and restored after each
// entry.
func TestLogOfTheBuildBeforeGivesItsState(t *testing.T) {
	want := golden.ReadLine(t, "replay", "state.json")
	direct, err := NewState(replaySettings)
	require.NoError(t, err)
	restored, err := NewState(replaySettings)
	require.NoError(t, err)
	file, err := os.Open(filepath.Join("testdata", "replay", "log.jsonl"))
	require.NoError(t, err)
	defer file.Close()
	entryCount := 0
	for scanner := bufio.NewScanner(file); scanner.Scan(); entryCount++ {
		var command Command
		golden.DecodeJSON(t, scanner.Bytes(), &command)
		reencoded, err := json.Marshal(command)
		require.NoError(t, err)
		if !bytes.Equal(reencoded, scanner.Bytes()) {
			t.Errorf("entry %d is encoded as\n%s\nthe earlier build encoded it as\n%s",
				entryCount, reencoded, scanner.Bytes())
		}
		reply, err := direct.Apply(command)
		replyRestored, errRestored := restored.Apply(command)
		if reply != replyRestored || fmt.Sprint(err) != fmt.Sprint(errRestored) {
			t.Errorf("entry %d: reply %q, error %v; of the stored and restored state %q, %v",
				entryCount, reply, err, replyRestored, errRestored)
		}
		encodedState, err := json.Marshal(restored)
		require.NoError(t, err)
		restored = &State{}
		golden.DecodeJSON(t, encodedState, restored)
		restored.UseSettings(replaySettings)
	}
	if entryCount == 0 {
		t.Fatal("the log is empty")
	}
	for name, state := range map[string]*State{"applied at once": direct, "stored and restored": restored} {
		got, err := json.Marshal(state)
		require.NoError(t, err)
		if !bytes.Equal(got, want) {
			t.Errorf("%s: the state is\n%s\nin the earlier build it was\n%s", name, got, want)
		}
	}
}

// replaySettings are the settings with which the build that wrote testdata/replay applied its log.
var replaySettings = Settings{
	MaxOut: 2, MaxOutPerZone: 1, MaxOutPerCell: 1, MaxAnnounced: 4, Headroom: 0.1,
	LeaseDuration: monotime.Second, InFlightGrace: monotime.Second, Warmup: 2 * monotime.Second,
}
