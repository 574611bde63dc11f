package report

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dunlinsail/internal/experiment"
	"dunlinsail/internal/experiment/library"
	"dunlinsail/internal/fake/require"
)

func compared(t *testing.T, b *experiment.Variant) *experiment.Comparison {
	t.Helper()
	s, err := library.Load("calm")
	if err == nil {
		s, err = experiment.Resize(s, []string{"length=4s", `about="a < b & \"c\""`}, 2, 5)
	}
	require.NoError(t, err)
	a, err := experiment.ParseVariant(experiment.Shipped)
	require.NoError(t, err)
	c, err := (&experiment.Runner{}).Compare(
		context.Background(), experiment.Plan{Scenario: s, A: a, B: b, FirstSeed: 1, MinSeeds: 3},
	)
	require.NoError(t, err)
	return c
}

// checkPage fails the test unless a page is well-formed and needs nothing from elsewhere. It returns the numbers of
// pictures and table rows.
func checkPage(t *testing.T, text []byte) (pictures, rows int) {
	t.Helper()
	d := xml.NewDecoder(bytes.NewReader(text))
	d.Strict = false
	d.AutoClose = xml.HTMLAutoClose
	d.Entity = xml.HTMLEntity
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			return pictures, rows
		}
		if err != nil {
			t.Fatalf("not well-formed: %v", err)
		}
		start, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		switch start.Name.Local {
		case "svg":
			pictures++
		case "tr":
			rows++
		case "script", "link", "img", "iframe":
			t.Errorf("there is a %s", start.Name.Local)
		}
		for _, a := range start.Attr {
			if (a.Name.Local == "href" || a.Name.Local == "src") && !strings.HasPrefix(a.Value, "#") {
				t.Errorf("it needs %s", a.Value)
			}
		}
	}
}

// A page is sound, has its pictures in it, needs nothing from elsewhere, and takes no text for markup.
func TestPage(t *testing.T) {
	b, err := experiment.ParseVariant("shipped,harm=0.4")
	require.NoError(t, err)
	b.Spec = "<script>alert(1)</script>"
	for _, c := range []*experiment.Comparison{compared(t, b), compared(t, nil)} {
		path := filepath.Join(t.TempDir(), "r.html")
		require.NoError(t, Write(path, c))
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		pictures, rows := checkPage(t, text)
		want := 6
		if c.RunsB != nil {
			want = 8
			if !strings.Contains(string(text), "B is worse") || !strings.Contains(string(text), "&lt;script&gt;") {
				t.Error("the verdict or the variant's text is missing")
			}
		}
		if pictures != want || rows < 25 {
			t.Errorf("%d pictures, want %d; %d rows", pictures, want, rows)
		}
	}
}

func TestMarkdown(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.md")
	require.NoError(t, Write(path, compared(t, nil)))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, want := range []string{"## calm", "| service | 0.9", "| `breaks == 0` | holds |"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	if err := Write(filepath.Join(t.TempDir(), "r.pdf"), compared(t, nil)); err == nil {
		t.Error("a report of a kind that is not known was written")
	}
	if err := Write(filepath.Join(t.TempDir(), "no", "r.md"), compared(t, nil)); err == nil {
		t.Error("a report was written where no folder is")
	}
}
