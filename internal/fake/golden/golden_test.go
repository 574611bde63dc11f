package golden

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

type part struct {
	Text   string   `json:"T"`
	Number int      `json:"N"`
	Parts  []uint64 `json:"P"`
}

type record struct {
	Pointer *part          `json:"A"`
	ByName  map[string]int `json:"B"`
	Flag    bool           `json:"C"`
	Share   float64        `json:"D"`
	hidden  int
}

// failureRecorder is the testing.TB of a check that is to fail.
type failureRecorder struct {
	testing.TB
	failures []string
}

func (r *failureRecorder) Helper() {}

func (r *failureRecorder) Errorf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

func (r *failureRecorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	runtime.Goexit()
}

func (r *failureRecorder) Fatal(args ...any) { r.Fatalf("%s", fmt.Sprint(args...)) }

// failuresOf returns what a check reports.
func failuresOf(check func(testing.TB)) string {
	recorder := &failureRecorder{}
	done := make(chan struct{})
	go func() { // of its own, which a fatal failure ends
		defer close(done)
		check(recorder)
	}()
	<-done
	return strings.Join(recorder.failures, "; ")
}

func TestFillGivesEachExportedFieldAValueOfItsOwn(t *testing.T) {
	var v record
	Fill(t, &v)
	const want = `{"A":{"T":"text1","N":2,"P":[3,4]},"B":{"text5":6},"C":true,"D":8.25}`
	CheckJSON(t, []byte(want), &v)
	if v.hidden != 0 {
		t.Errorf("a field that is not exported has the value %d", v.hidden)
	}
	v.hidden = 1
	RequireFilled(t, "record", v)
}

func TestChecksReportWhatDiffers(t *testing.T) {
	value := &part{Text: "x", Number: 1, Parts: []uint64{2}}
	checkJSON := func(want string) func(testing.TB) {
		return func(t testing.TB) { t.Helper(); CheckJSON(t, []byte(want), value) }
	}
	requireFilled := func(value any) func(testing.TB) {
		return func(t testing.TB) { t.Helper(); RequireFilled(t, "value", value) }
	}
	for name, c := range map[string]struct {
		check func(testing.TB)
		want  string // part of what is reported; empty if nothing is
	}{
		"the same form":          {checkJSON(`{"T":"x","N":1,"P":[2]}`), ""},
		"another value":          {checkJSON(`{"T":"x","N":2,"P":[2]}`), "decoded as"},
		"another order of keys":  {checkJSON(`{"N":1,"T":"x","P":[2]}`), "encoded as"},
		"a final newline":        {checkJSON("{\"T\":\"x\",\"N\":1,\"P\":[2]}\n"), "encoded as"},
		"a key without a field":  {checkJSON(`{"T":"x","N":1,"P":[2],"Z":0}`), `unknown field "Z"`},
		"a value in each field":  {requireFilled(*value), ""},
		"a field without value":  {requireFilled(part{Text: "x", Parts: []uint64{1}}), "value.Number"},
		"an empty slice":         {requireFilled(part{Text: "x", Number: 1, Parts: []uint64{}}), "value.Parts"},
		"a first element of 0":   {requireFilled(part{Text: "x", Number: 1, Parts: []uint64{0}}), "value.Parts[0]"},
		"a nil pointer":          {requireFilled(record{}), "value.Pointer"},
		"a type without a value": {func(t testing.TB) { t.Helper(); Fill(t, &struct{ C chan int }{}) }, "chan int"},
	} {
		got := failuresOf(c.check)
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: reported %q, want %q", name, got, c.want)
		}
	}
}

func TestReadLineRequiresTheFinalNewline(t *testing.T) {
	t.Chdir(t.TempDir())
	if err := os.MkdirAll(filepath.Join("testdata", "forms"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string]string{"line": "{}\n", "two": "{}\n\n", "none": "{}"} {
		if err := os.WriteFile(filepath.Join("testdata", "forms", name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if got := string(ReadLine(t, "forms", "line")); got != "{}" {
		t.Errorf("read %q", got)
	}
	if got := string(ReadLine(t, "forms", "two")); got != "{}\n" {
		t.Errorf("of two newlines read %q", got)
	}
	if got := string(Read(t, "forms", "none")); got != "{}" {
		t.Errorf("read %q", got)
	}
	if failuresOf(func(t testing.TB) { t.Helper(); ReadLine(t, "forms", "none") }) == "" {
		t.Error("a file without a newline is accepted")
	}
	if failuresOf(func(t testing.TB) { t.Helper(); Read(t, "forms", "missing") }) == "" {
		t.Error("a missing file is accepted")
	}
}
