package daemon

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"dunlinsail/internal/fake/require"
)

// The JSON forms of takeover offers and of the fleet view must not change, because the other process may be of
// another build. The golden files were written by the build of commit 870f4ac with every field set, and are never
// changed.
func TestFormsOfEarlierBuild(t *testing.T) {
	for file, value := range map[string]any{
		"testdata/offer.golden.json": &offer{},
		"testdata/view.golden.json":  &View{},
	} {
		t.Run(file, func(t *testing.T) {
			golden, err := os.ReadFile(file)
			require.NoError(t, err)
			d := json.NewDecoder(bytes.NewReader(golden))
			d.DisallowUnknownFields()
			require.NoError(t, d.Decode(value))
			encoded, err := json.Marshal(value)
			require.NoError(t, err)
			if !bytes.Equal(encoded, golden) {
				t.Errorf("encoded again:\n%s\nwant:\n%s", encoded, golden)
			}
		})
	}
}
