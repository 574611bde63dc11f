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

func runComparison(t *testing.T, variantB *experiment.Variant) *experiment.Comparison {
	t.Helper()
	scenario, err := library.Load("calm")
	if err == nil {
		scenario, err = experiment.Resize(scenario, []string{"length=4s", `about="a < b & \"c\""`}, 2, 5)
	}
	require.NoError(t, err)
	variantA, err := experiment.ParseVariant(experiment.Shipped)
	require.NoError(t, err)
	comparison, err := (&experiment.Runner{}).Compare(
		context.Background(), experiment.Plan{Scenario: scenario, A: variantA, B: variantB, FirstSeed: 1, MinSeeds: 3},
	)
	require.NoError(t, err)
	return comparison
}

// checkPage fails the test unless a page is well-formed and refers to no external resources. It returns the
// numbers of pictures and table rows.
func checkPage(t *testing.T, page []byte) (pictures, rows int) {
	t.Helper()
	decoder := xml.NewDecoder(bytes.NewReader(page))
	decoder.Strict = false
	decoder.AutoClose = xml.HTMLAutoClose
	decoder.Entity = xml.HTMLEntity
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return pictures, rows
		}
		if err != nil {
			t.Fatalf("not well-formed: %v", err)
		}
		element, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		switch element.Name.Local {
		case "svg":
			pictures++
		case "tr":
			rows++
		case "script", "link", "img", "iframe":
			t.Errorf("the page contains an element %s", element.Name.Local)
		}
		for _, attribute := range element.Attr {
			if (attribute.Name.Local == "href" || attribute.Name.Local == "src") &&
				!strings.HasPrefix(attribute.Value, "#") {
				t.Errorf("the page refers to %s", attribute.Value)
			}
		}
	}
}

// A page is well-formed, contains its pictures, refers to no external resources, and escapes markup in texts.
func TestPage(t *testing.T) {
	variantB, err := experiment.ParseVariant("shipped,harm=0.4")
	require.NoError(t, err)
	variantB.Spec = "<script>alert(1)</script>"
	for _, comparison := range []*experiment.Comparison{runComparison(t, variantB), runComparison(t, nil)} {
		path := filepath.Join(t.TempDir(), "r.html")
		require.NoError(t, Write(path, comparison))
		page, err := os.ReadFile(path)
		require.NoError(t, err)
		pictures, rows := checkPage(t, page)
		want := 6
		if comparison.RunsB != nil {
			want = 8
			if !strings.Contains(string(page), "B is worse") || !strings.Contains(string(page), "&lt;script&gt;") {
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
	require.NoError(t, Write(path, runComparison(t, nil)))
	markdown, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, want := range []string{"## calm", "| service | 0.9", "| `breaks == 0` | holds |"} {
		if !strings.Contains(string(markdown), want) {
			t.Errorf("%q is missing in\n%s", want, markdown)
		}
	}
	if err := Write(filepath.Join(t.TempDir(), "r.pdf"), runComparison(t, nil)); err == nil {
		t.Error("a report with an unknown file name extension was written")
	}
	if err := Write(filepath.Join(t.TempDir(), "no", "r.md"), runComparison(t, nil)); err == nil {
		t.Error("a report was written to a folder that does not exist")
	}
}
