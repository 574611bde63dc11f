package daemon

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
)

// The golden files were written by the build of commit 870f4ac with every field set. They are never changed:
// the other process may be of another build.
func TestFormsOfEarlierBuild(t *testing.T) {
	for file, value := range map[string]any{
		"testdata/offer.golden.json": &offer{},
		"testdata/view.golden.json":  &View{},
	} {
		t.Run(file, func(t *testing.T) {
			golden, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			d := json.NewDecoder(bytes.NewReader(golden))
			d.DisallowUnknownFields()
			if err := d.Decode(value); err != nil {
				t.Fatal(err)
			}
			encoded, err := json.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(encoded, golden) {
				t.Errorf("encoded again:\n%s\nwant:\n%s", encoded, golden)
			}
		})
	}
}
