package fairqueue

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of rapid to 1, unless the flag -rapid.seed sets another one. With -rapid.seed=0, rapid
// draws a new seed each time.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
