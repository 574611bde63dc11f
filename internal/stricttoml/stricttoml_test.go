package stricttoml

import (
	"errors"
	"testing"
)

// Each kind of mistake in a file is reported with its key and line.
func TestMistakesHaveLines(t *testing.T) {
	type file struct {
		Name string     `toml:"name"`
		For  Duration   `toml:"for"`
		List []struct { // list of tables
			Size Size `toml:"size"`
		} `toml:"list"`
	}
	for text, want := range map[string]Error{
		"name = 1\n":              {"name", 1, ""},
		"\nnmae = \"a\"\n":        {"nmae", 2, "is not a known key"},
		"name = \"a\"\nfor = 3\n": {"for", 2, "\"3\" is no time with a unit, as \"250ms\", \"15s\" or \"2m\""},
		"[[list]]\n[[list]]\nsize = 1.5\n": {
			"list.1.size",
			3,
			"\"1.5\" is no size with a unit, as \"512B\", \"64KiB\", \"4MiB\" or \"1GiB\"",
		},
		"\xef\xbb\xbfname = \"a\"": {
			"",
			1,
			"the file begins with a byte order mark (U+FEFF): save it as UTF-8 without one",
		},
	} {
		var f file
		_, err := Decode([]byte(text), &f)
		var mistakes Errors
		if !errors.As(err, &mistakes) || len(mistakes) != 1 {
			t.Errorf("%q: %v, want %v", text, err, &want)
			continue
		}
		if mistakes[0].Key != want.Key || mistakes[0].Line != want.Line ||
			want.Reason != "" && mistakes[0].Reason != want.Reason {
			t.Errorf("%q: %v, want %v", text, err, &want)
		}
	}
	var f file
	lines, err := Decode([]byte("name = \"a\"\n[[list]]\n[[list]]\nsize = \"1KiB\"\n"), &f)
	if err != nil || f.List[1].Size.Bytes != 1024 {
		t.Fatal(err, f)
	}
	validation := Validation{Lines: lines}
	validation.Require(false, "list.1.size", "is %d", 1)
	validation.Require(false, "list.0.size", "is missing")
	validation.Require(true, "name", "is fine")
	if got := validation.Err().Error(); got != "line 2: list.0.size: is missing\nline 4: list.1.size: is 1" {
		t.Errorf("got %s", got)
	}
}

// keyLines must not panic on any text.
func FuzzKeyLines(f *testing.F) {
	f.Add("[[a]]\n[a.b]\n[[a.b.c]]\nd = [{e = 1}, {f.g = 2}]")
	f.Fuzz(func(t *testing.T, text string) { keyLines([]byte(text)) })
}
