package configcache

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"dunlinsail/internal/decide/rollout"
	"dunlinsail/internal/fake/require"
)

// Digests of the contents under testdata/golden.
const (
	goldenFileDigest    = "cd3d0f53ebd5805c91c8aaf4ec5869daf37c5b2532476ca56cc37b7bbfd5923d"
	firstContentDigest  = "68f3a1df8df15410dacd0fa8178379fce7d79743d344018b795244a8a954332b"
	secondContentDigest = "8abc261d8cadcccd2d253679c5ea720c88aa015d267915b778bd5a1736ce6f9f"
)

// newFileVersion returns a version of the configuration file with the given number.
func newFileVersion(number uint64) rollout.Version {
	return rollout.Version{ID: rollout.ID{Source: rollout.SourceFile, Number: number}, Digest: goldenFileDigest}
}

// newControlPlaneVersion returns a version that was received from the control plane.
func newControlPlaneVersion(epoch string, number uint64, digest string, rollback bool) *rollout.Version {
	return &rollout.Version{
		ID:       rollout.ID{Source: rollout.SourceControlPlane, Epoch: epoch, Number: number},
		Digest:   digest,
		Rollback: rollback,
	}
}

// goldenStates returns the expected state in each folder under testdata/golden, by the folder's name.
func goldenStates() map[string]*rollout.PersistentState {
	onlyFile := &rollout.LayeredVersion{File: newFileVersion(1)}
	firstVersion := newControlPlaneVersion("", 1, firstContentDigest, false)
	return map[string]*rollout.PersistentState{
		"empty":     {},
		"file-only": {LastKnownGood: onlyFile},
		"on-trial": {
			LastKnownGood: onlyFile,
			Unconfirmed:   firstVersion,
			ApplyAttempts: 1,
			KnownVersions: []rollout.Version{*firstVersion},
		},
		"refused": {
			LastKnownGood: onlyFile,
			Rejected:      []rollout.Rejection{{Version: *firstVersion, Reason: "class/look: aim: 2s is over give_up"}},
			KnownVersions: []rollout.Version{*firstVersion},
		},
		"full": {
			LastKnownGood: &rollout.LayeredVersion{
				ControlPlane: newControlPlaneVersion("e", 7, firstContentDigest, false),
				File:         newFileVersion(3),
			},
			PreviousGood: &rollout.LayeredVersion{
				ControlPlane: newControlPlaneVersion("e", 6, secondContentDigest, true),
				File:         newFileVersion(3),
			},
			Unconfirmed:   newControlPlaneVersion("f", 1, secondContentDigest, true),
			ApplyAttempts: 2,
			Rejected: []rollout.Rejection{
				{Version: *newControlPlaneVersion("e", 5, "0a", false), Reason: "version e/5 is older than e/6"},
				{
					Version:    *newControlPlaneVersion("", 18446744073709551615, "0b", true),
					Reason:     `worse by service: <1> & "2"`,
					RolledBack: true,
				},
				{Version: newFileVersion(2), Reason: "file 2: line 3"},
			},
			AbandonedEpochs: []string{"c", "d"},
			KnownVersions: []rollout.Version{
				*newControlPlaneVersion("e", 5, "0a", false),
				*newControlPlaneVersion("e", 6, secondContentDigest, true),
				*newControlPlaneVersion("e", 7, firstContentDigest, false),
				*newControlPlaneVersion("f", 1, secondContentDigest, true),
			},
		},
	}
}

// The folders under testdata/golden were written by build 870f4ac and must never change. Loading each must give the
// state that was saved, and saving this state must write the same bytes, so that the old build can load it.
func TestGoldenFolders(t *testing.T) {
	for name, want := range goldenStates() {
		t.Run(name, func(t *testing.T) {
			golden, err := Open(filepath.Join("testdata", "golden", name))
			require.NoError(t, err)
			got, file, err := golden.Load()
			if err != nil || file != stateFile {
				t.Fatalf("from %q, %v", file, err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
			checkRewritten(t, golden, got)
		})
	}
}

// checkRewritten saves the states of a golden folder to a new folder, the previous state first, and compares the
// files in both folders.
func checkRewritten(t *testing.T, golden *Cache, newest *rollout.PersistentState) {
	t.Helper()
	contents := map[string][]byte{}
	for _, name := range fileNames(t, golden) {
		if digest, isContent := strings.CutPrefix(name, contentPrefix); isContent {
			text, err := golden.Content(digest)
			require.NoError(t, err)
			contents[digest] = text
		}
	}
	rewritten := openTemporary(t)
	if previous, err := golden.loadState(previousStateFile); err == nil {
		require.NoError(t, rewritten.Save(previous, contents))
	}
	require.NoError(t, rewritten.Save(newest, contents))
	if got, want := fmt.Sprint(fileNames(t, rewritten)), fmt.Sprint(fileNames(t, golden)); got != want {
		t.Errorf("files %v, want %v", got, want)
	}
	for _, name := range fileNames(t, golden) {
		want, err := os.ReadFile(filepath.Join(golden.folder, name))
		require.NoError(t, err)
		got, err := os.ReadFile(filepath.Join(rewritten.folder, name))
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: got\n%s\nwant\n%s\n%v", name, got, want, err)
		}
	}
}
