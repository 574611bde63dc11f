package fairqueue

import (
	"flag"
	"os"
	"testing"
)

// TestMain has rapid draw the same each time, unless a seed is asked for: -rapid.seed=0 draws anew.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
