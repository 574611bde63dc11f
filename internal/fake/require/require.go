// Package require ends tests whose preparation fails.
//
// Only tests may import the package. It imports nothing of this module.
package require

import "testing"

// NoError ends the test at once, with the error as its message, unless the error is nil.
func NoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
