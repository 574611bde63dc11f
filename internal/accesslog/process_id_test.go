package accesslog

import (
	"strconv"
	"testing"
	"time"
)

// The process id is found although p, which separates start time and process id, is also a base-36 digit and
// can occur in both numbers.
func TestProcessIDBesideDigitsOfItsSeparator(t *testing.T) {
	pid36 := func(pid int) string { return strconv.FormatInt(int64(pid), 36) }
	startWithP, err := strconv.ParseInt("mkp0p1zz", 36, 64)
	if err != nil {
		t.Fatal(err)
	}
	for _, start := range []int64{0, time.Date(2026, 12, 2, 5, 50, 0, 0, time.UTC).UnixMilli(), startWithP} {
		for _, pid := range []int{1, 25, 25*36 + 25, 4194303} {
			name := strconv.FormatInt(start, 36) + "p" + pid36(pid)
			if got, ok := processID(name); !ok || got != pid {
				t.Errorf("%s: process id %d, %v, want %d", name, got, ok, pid)
			}
		}
	}
	for _, name := range []string{"", "x", "p", "12345678p", "12345678p-"} {
		if pid, ok := processID(name); ok {
			t.Errorf("%q is accepted, with process id %d", name, pid)
		}
	}
}
