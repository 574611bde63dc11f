package fairqueue

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed. Another one is set by its flag: -rapid.seed=0 draws a new seed each time.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
