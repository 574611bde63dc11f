package route

import (
	"errors"
	"fmt"
	"net/url"
	"path"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestNormalizePath(t *testing.T) {
	for _, tc := range []struct {
		path, want string
		err        error
	}{
		{"/", "/", nil},
		{"/look/1", "/look/1", nil},
		{"/look/../patient-card/7", "/patient-card/7", nil},
		{"/look/%2e%2E/patient-card/7", "/patient-card/7", nil},
		{"/look/.%2e/patient-card/7", "/patient-card/7", nil},
		{"/a/./b/.", "/a/b/", nil},
		{"/a/b/..", "/a/", nil},
		{"/a/b/../", "/a/", nil},
		{"/..", "", ErrAboveRoot},
		{"/a/../../b", "", ErrAboveRoot},
		{"//a///b//", "/a/b/", nil},
		{"/a//../b", "/b", nil},
		{"/%41%7e%5f", "/A~_", nil},
		{"/a%c3%a9", "/a%C3%A9", nil},
		{"/a b|c", "/a%20b%7Cc", nil},
		{"/a%252e", "/a%252e", nil},
		{"/a%2fb", "", ErrEncodedSlash},
		{"/a%5Cb", "", ErrEncodedSlash},
		{`/a\b`, "", ErrBackslash},
		{"/a%", "", ErrEscape},
		{"/a%4", "", ErrEscape},
		{"/a%zz", "", ErrEscape},
		{"/a%00", "", ErrControl},
		{"/a%0a", "", ErrControl},
		{"/a%ff", "", ErrUTF8},
		{"/a/..;x=1/b", "", ErrDotParameter},
		{"/a/%2e;/b", "", ErrDotParameter},
		{"/a;x=1/b", "/a;x=1/b", nil},
		{"/.well-known/x", "/.well-known/x", nil},
		{"/...", "/...", nil},
		{"a", "", ErrNoPath},
		{"*", "", ErrNoPath},
		{"", "", ErrNoPath},
	} {
		if got, err := NormalizePath(tc.path, RejectEncodedSlashes); got != tc.want || !errors.Is(err, tc.err) {
			t.Errorf("NormalizePath(%q) = %q, %v, want %q, %v", tc.path, got, err, tc.want, tc.err)
		}
	}
	if got, err := NormalizePath("/a%2fb", KeepEncodedSlashes); got != "/a%2Fb" || err != nil {
		t.Errorf("path with a kept encoded slash: %q, %v", got, err)
	}
}

// FuzzNormalize verifies that all servers interpret a normal form in the same way: normalizing it again does not change
// it, it has no dot segments and no empty segments, and a server that decodes it or resolves dot segments gets the same
// path.
func FuzzNormalize(f *testing.F) {
	for _, s := range []string{
		"/", "/a/../b", "/%2e%2e/x", "/a%2fb", "//", "/a/.;b/..", "/%c3%a9/\xff", "/a%252e/%2E.",
	} {
		f.Add(s, true)
	}
	f.Fuzz(func(t *testing.T, input string, keepSlashes bool) {
		slashes := RejectEncodedSlashes
		if keepSlashes {
			slashes = KeepEncodedSlashes
		}
		normal, err := NormalizePath(input, slashes)
		if err != nil {
			if normal != "" {
				t.Errorf("%q: result %q with error %v", input, normal, err)
			}
			return
		}
		checkNormalForm(t, input, normal, slashes)
	})
}

// checkNormalForm checks the properties of normal, which NormalizePath returned for the path input.
func checkNormalForm(t *testing.T, input, normal string, slashes EncodedSlashes) {
	t.Helper()
	if renormalized, err := NormalizePath(normal, slashes); renormalized != normal || err != nil {
		t.Errorf("normal form of %q is %q, whose normal form is %q, %v", input, normal, renormalized, err)
	}
	if cleaned := path.Clean(normal); normal[0] != '/' ||
		cleaned != strings.TrimSuffix(normal, "/") && cleaned != normal {
		t.Errorf("normal form of %q is %q, which path.Clean changes to %q", input, normal, cleaned)
	}
	decoded, err := url.PathUnescape(normal)
	if err != nil {
		t.Errorf("normal form of %q is %q, which cannot be decoded: %v", input, normal, err)
	}
	sameSlashes := strings.Count(decoded, "/") == strings.Count(normal, "/")
	isClean := path.Clean(decoded) == strings.TrimSuffix(decoded, "/") || decoded == "/"
	if slashes == RejectEncodedSlashes && (!sameSlashes || !isClean) {
		t.Errorf("normal form of %q is %q, whose decoded form %q has other segments", input, normal, decoded)
	}
}

func TestInvalidPatternIsNamed(t *testing.T) {
	for _, tc := range []struct {
		pattern Pattern
		key     string
	}{
		{Pattern{Host: "Clinic.example"}, "host"},
		{Pattern{Host: "clinic.example:80"}, "host"},
		{Pattern{Host: "a.*.b"}, "host"},
		{Pattern{Host: "*."}, "host"},
		{Pattern{Path: "look"}, "path"},
		{Pattern{Path: "/a*"}, "path"},
		{Pattern{Path: "/*/a"}, "path"},
		{Pattern{Path: "/a/{x}y"}, "path"},
		{Pattern{Path: "/a/{}"}, "path"},
		{Pattern{Path: "/{x}/{x}"}, "path"},
		{Pattern{Path: "/a/../b"}, "path"},
		{Pattern{Path: "/a//b"}, "path"},
		{Pattern{Path: "/%41"}, "path"},
		{Pattern{Methods: []string{"GET", "GET"}}, "method"},
		{Pattern{Methods: []string{""}}, "method"},
		{Pattern{Headers: []HeaderCondition{{Name: "X"}, {Name: "X"}}}, "header"},
	} {
		_, err := New([]Pattern{{Path: "/fine"}, tc.pattern})
		var patternErr *PatternError
		if !errors.As(err, &patternErr) || patternErr.Index != 1 || patternErr.Key != tc.key {
			t.Errorf("%+v: %v, want an error of %s", tc.pattern, err, tc.key)
		}
	}
}

func TestSpecificPatternWins(t *testing.T) {
	// All patterns match the request below, and each one is more specific than the patterns after it.
	mostSpecificFirst := []Pattern{
		{Host: "a.example", Path: "/x/y", Headers: []HeaderCondition{{"K", "1"}, {"L", ""}}, Methods: []string{"GET"}},
		{Host: "a.example", Path: "/x/y", Headers: []HeaderCondition{{"K", "1"}}, Methods: []string{"GET"}},
		{Host: "a.example", Path: "/x/y", Headers: []HeaderCondition{{"K", "1"}}},
		{Host: "a.example", Path: "/x/y", Headers: []HeaderCondition{{"K", ""}, {"L", ""}}},
		{Host: "a.example", Path: "/x/y", Headers: []HeaderCondition{{"K", ""}}},
		{Host: "a.example", Path: "/x/y", Methods: []string{"GET"}},
		{Host: "a.example", Path: "/x/y"},
		{Host: "a.example", Path: "/x/y/*"},
		{Host: "a.example", Path: "/x/{p}"},
		{Host: "a.example", Path: "/{p}/y"},
		{Host: "a.example", Path: "/{p}/*"},
		{Host: "a.example", Path: "/*"},
		{Host: "*.example", Path: "/x/y"},
		{Host: "*.example"},
		{Path: "/x/y"},
		{},
	}
	for firstIndex := range mostSpecificFirst {
		// The order of the patterns in the table must not matter.
		for _, reverse := range []bool{false, true} {
			patterns := slices.Clone(mostSpecificFirst[firstIndex:])
			want := 0
			if reverse {
				slices.Reverse(patterns)
				want = len(patterns) - 1
			}
			table, err := New(patterns)
			if err != nil {
				t.Fatal(err)
			}
			got := table.Match("a.example", "/x/y", "GET", map[string][]string{"K": {"1"}, "L": {"2"}})
			if got != want {
				t.Errorf("patterns from %d on: pattern %d wins, want %d: %+v", firstIndex, got, want, patterns)
			}
		}
	}
}

func TestMatch(t *testing.T) {
	table, err := New([]Pattern{
		{Path: "/cards/{clinic}/{card}", Methods: []string{"GET"}},
		{Path: "/cards/*"},
		{Path: "/slots", Methods: []string{"GET", "HEAD"}},
		{Host: "*.valle.example", Path: "/slots/"},
		{Path: "/book", Methods: []string{"POST"}, Headers: []HeaderCondition{{"Idempotency-Key", ""}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		host, path, method string
		want               int
	}{
		{"x", "/cards/a/7", "GET", 0},
		{"x", "/cards/a/7", "PUT", 1},
		{"x", "/cards/a/", "GET", 1}, // an empty segment does not match a parameter
		{"x", "/cards", "GET", 1},
		{"x", "/cards/a/7/8", "GET", 1},
		{"x", "/cardsx", "GET", NotFound},
		{"x", "/slots", "HEAD", 2},
		{"x", "/slots", "POST", MethodNotAllowed},
		{"x", "/slots/", "GET", NotFound},
		{"a.valle.example", "/slots/", "GET", 3},
		{"b.a.valle.example", "/slots/", "GET", 3},
		{"valle.example", "/slots/", "GET", NotFound},
		{"x", "/book", "POST", NotFound},
		{"x", "/", "GET", NotFound},
	} {
		if got := table.Match(tc.host, tc.path, tc.method, nil); got != tc.want {
			t.Errorf("%s %s%s: %d, want %d", tc.method, tc.host, tc.path, got, tc.want)
		}
	}
	if index, ok := table.ParameterIndex(0, "card"); !ok || Segment("/cards/a/7", index) != "7" {
		t.Errorf("card is segment %d, %v", index, ok)
	}
	if _, ok := table.ParameterIndex(1, "card"); ok {
		t.Error("ParameterIndex finds a parameter that the pattern does not have")
	}
}

func TestConflicts(t *testing.T) {
	getOnly := []string{"GET"}
	for _, tc := range []struct {
		first, second Pattern
		want          bool
	}{
		{Pattern{}, Pattern{Path: "/*"}, true},
		{Pattern{Path: "/a/{x}"}, Pattern{Path: "/a/{y}"}, true},
		{Pattern{Path: "/a/{x}"}, Pattern{Path: "/a/b"}, false},
		{Pattern{Path: "/a", Methods: getOnly}, Pattern{Path: "/a", Methods: []string{"POST"}}, false},
		{Pattern{Path: "/a", Methods: getOnly}, Pattern{Path: "/a", Methods: []string{"POST", "GET"}}, true},
		{Pattern{Path: "/a", Methods: getOnly}, Pattern{Path: "/a"}, false},
		{Pattern{Headers: []HeaderCondition{{"A", "1"}}}, Pattern{Headers: []HeaderCondition{{"A", "2"}}}, false},
		{Pattern{Headers: []HeaderCondition{{"A", "1"}}}, Pattern{Headers: []HeaderCondition{{"B", "1"}}}, true},
		{Pattern{Headers: []HeaderCondition{{"A", "1"}}}, Pattern{Headers: []HeaderCondition{{"A", ""}}}, false},
		{Pattern{Host: "a"}, Pattern{Host: "*.a"}, false},
	} {
		_, err := New([]Pattern{{Path: "/other"}, tc.first, tc.second})
		var conflict *ConflictError
		if errors.As(err, &conflict) != tc.want {
			t.Errorf("%+v and %+v: %v, want a conflict: %v", tc.first, tc.second, err, tc.want)
		} else if tc.want && (conflict.First != 1 || conflict.Second != 2) {
			t.Errorf("%v, want a conflict of routes 1 and 2", conflict)
		}
	}
}

// referenceMatch is the reference implementation of Table.Match: it tries every pattern, and ranks the patterns that
// match by the rules in the package comment.
func referenceMatch(patterns []Pattern, host, path, method string, headers map[string][]string) int {
	best := NotFound
	methodMismatch := false
	var bestRank []int
	for i, p := range patterns {
		rank, matches := referenceRank(p, host, path, headers)
		if !matches {
			continue
		}
		if len(p.Methods) > 0 {
			if !slices.Contains(p.Methods, method) {
				methodMismatch = true
				continue
			}
			rank = append(rank, 1)
		}
		if best < 0 || slices.Compare(rank, bestRank) > 0 {
			best = i
			bestRank = rank
		}
	}
	if best < 0 && methodMismatch {
		return MethodNotAllowed
	}
	return best
}

// referenceRank reports whether a pattern matches a request's host, path and headers, and returns its rank if so. A
// pattern with a higher rank, compared element by element, is more specific.
func referenceRank(p Pattern, host, path string, headers map[string][]string) (rank []int, matches bool) {
	hostSuffix, isWildcard := strings.CutPrefix(p.Host, "*.")
	switch {
	case p.Host == "":
		rank = append(rank, 0)
	case isWildcard && strings.HasSuffix(host, "."+hostSuffix):
		rank = append(rank, len(hostSuffix))
	case !isWildcard && host == p.Host:
		rank = append(rank, 1000)
	default:
		return nil, false
	}
	patternPath, isPrefix := strings.CutSuffix(p.Path, "/*")
	isPrefix = isPrefix || p.Path == ""
	patternSegments := strings.Split(patternPath, "/")[1:]
	requestSegments := strings.Split(path, "/")[1:]
	if patternPath == "" {
		patternSegments = nil
	}
	if len(requestSegments) < len(patternSegments) || !isPrefix && len(requestSegments) > len(patternSegments) {
		return nil, false
	}
	segmentRanks := make([]int, 8) // by segment: literal 3, parameter 2, end of an exact path 1, end of a prefix 0
	for i, s := range patternSegments {
		switch {
		case s == requestSegments[i]:
			segmentRanks[i] = 3
		case strings.HasPrefix(s, "{") && requestSegments[i] != "":
			segmentRanks[i] = 2
		default:
			return nil, false
		}
	}
	if !isPrefix {
		segmentRanks[len(patternSegments)] = 1
	}
	rank = append(rank, segmentRanks...)
	exactValueHeaders := 0
	for _, h := range p.Headers {
		values := headers[h.Name]
		if len(values) == 0 || h.Value != "" && values[0] != h.Value {
			return nil, false
		}
		if h.Value != "" {
			exactValueHeaders++
		}
	}
	return append(rank, exactValueHeaders, len(p.Headers)), true
}

func TestTableAgainstReference(t *testing.T) {
	patternGenerator := rapid.Custom(drawPattern)
	rapid.Check(t, func(t *rapid.T) {
		var patterns []Pattern
		for _, p := range rapid.SliceOfN(patternGenerator, 1, 30).Draw(t, "patterns") {
			if _, err := New(append(slices.Clone(patterns), p)); err == nil {
				patterns = append(patterns, p)
			}
		}
		table, err := New(patterns)
		if err != nil {
			t.Fatal(err)
		}
		for range 50 {
			host := rapid.SampledFrom([]string{"h.example", "x.h.example", "example", "other"}).Draw(t, "host")
			path := drawPath(t)
			method := rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "method")
			headers := map[string][]string{}
			for _, name := range []string{"K", "L"} {
				if v := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, name); v != "" {
					headers[name] = []string{v}
				}
			}
			got := table.Match(host, path, method, headers)
			if want := referenceMatch(patterns, host, path, method, headers); got != want {
				t.Fatalf("%s %s%s %v: %d, the reference says %d, of %+v",
					method, host, path, headers, got, want, patterns)
			}
		}
	})
}

// drawPattern draws a random valid pattern.
func drawPattern(t *rapid.T) Pattern {
	hosts := []string{"", "", "h.example", "*.example", "*.h.example", "example"}
	segmentGenerator := rapid.SampledFrom([]string{"a", "b", "{p}"})
	p := Pattern{Host: rapid.SampledFrom(hosts).Draw(t, "host")}
	for i := range rapid.IntRange(0, 3).Draw(t, "segments") {
		s := segmentGenerator.Draw(t, "segment")
		if s == "{p}" {
			s = fmt.Sprintf("{p%d}", i)
		}
		p.Path += "/" + s
	}
	if p.Path == "" || rapid.Bool().Draw(t, "prefix") {
		p.Path += "/*"
	}
	p.Methods = rapid.SampledFrom([][]string{nil, {"GET"}, {"POST"}, {"GET", "PUT"}}).Draw(t, "methods")
	for _, name := range []string{"K", "L"} {
		switch rapid.IntRange(0, 4).Draw(t, name) {
		case 0:
			p.Headers = append(p.Headers, HeaderCondition{name, ""})
		case 1:
			p.Headers = append(p.Headers, HeaderCondition{name, "1"})
		}
	}
	return p
}

// drawPath draws a random path of a request, in normal form.
func drawPath(t *rapid.T) string {
	segmentsGenerator := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "a"}), 0, 4)
	path := "/" + strings.Join(segmentsGenerator.Draw(t, "path"), "/")
	if path != "/" && rapid.Bool().Draw(t, "slash") {
		path += "/"
	}
	return path
}

// fuzzChoices is the part of a fuzz test's input that is not used yet. Each byte decides one choice.
type fuzzChoices []byte

// pick uses the next byte of the input to select one of the texts. It returns the first text if no input is left.
func (c *fuzzChoices) pick(texts ...string) string {
	if len(*c) == 0 {
		return texts[0]
	}
	choice := (*c)[0]
	*c = (*c)[1:]
	return texts[int(choice)%len(texts)]
}

// choosePatterns uses the input to select a list of patterns. It skips patterns that conflict with earlier ones.
func (c *fuzzChoices) choosePatterns() []Pattern {
	var patterns []Pattern
	for len(*c) > 24 && len(patterns) < 40 {
		p := Pattern{Host: c.pick("", "h.example", "*.example", "*.h.example", "example")}
		for i := range len(c.pick("", "a", "ab", "abc")) {
			p.Path += "/" + c.pick("a", "b", fmt.Sprintf("{p%d}", i), "", "%C3%A9")
		}
		if p.Path += c.pick("", "/*"); p.Path == "" {
			p.Path = "/*"
		}
		if method := c.pick("", "GET", "POST"); method != "" {
			p.Methods = []string{method}
		}
		for _, name := range []string{"K", "L"} {
			if v := c.pick("-", "-", "", "1"); v != "-" {
				p.Headers = append(p.Headers, HeaderCondition{name, v})
			}
		}
		if _, err := New(append(slices.Clone(patterns), p)); err == nil {
			patterns = append(patterns, p)
		}
	}
	return patterns
}

// FuzzMatch compares the results of Table.Match and referenceMatch for patterns and requests that the input selects.
func FuzzMatch(f *testing.F) {
	for i := range 8 {
		input := make([]byte, 64)
		for j := range input {
			input[j] = byte(j*(i*37+11) + i)
		}
		f.Add(input)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		choices := fuzzChoices(input)
		pick := choices.pick
		patterns := choices.choosePatterns()
		table, err := New(patterns)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			rawPath := "/" + pick("", "a", "b", "%c3%a9", "%61")
			rawPath += pick("", "/", "/a", "/..", "/b/")
			rawPath += pick("", "/a", "//b", "/.")
			path, err := NormalizePath(rawPath, RejectEncodedSlashes)
			if err != nil {
				continue
			}
			headers := map[string][]string{}
			for _, name := range []string{"K", "L"} {
				if v := pick("", "1", "2"); v != "" {
					headers[name] = []string{v}
				}
			}
			host := NormalizeHost(pick("h.example", "X.h.Example.", "example:80", "other"))
			method := pick("GET", "POST", "PUT")
			got := table.Match(host, path, method, headers)
			want := referenceMatch(patterns, host, path, method, headers)
			if got != want {
				t.Fatalf("%s %s%s %v: %d, the reference says %d, of %+v",
					method, host, path, headers, got, want, patterns)
			}
		}
	})
}

// tableOfRoutes returns a table of routeCount patterns, and a matching path for each pattern, in the same order.
func tableOfRoutes(routeCount int) (*Table, []string) {
	var patterns []Pattern
	var paths []string
	for i := range routeCount {
		path := fmt.Sprintf("/service-%d/{clinic}/cards/{card}", i)
		patterns = append(patterns, Pattern{Path: path, Methods: []string{"GET"}})
		paths = append(paths, fmt.Sprintf("/service-%d/sonrisa/cards/7", i))
	}
	table, err := New(patterns)
	if err != nil {
		panic(err)
	}
	return table, paths
}

func TestMatchAllocatesNothing(t *testing.T) {
	table, paths := tableOfRoutes(1000)
	callCount := 0
	if allocations := testing.AllocsPerRun(1000, func() {
		path, err := NormalizePath(paths[callCount%len(paths)], RejectEncodedSlashes)
		if err != nil || table.Match(NormalizeHost("desk.example"), path, "GET", nil) != callCount%len(paths) {
			t.Fatal(path)
		}
		callCount++
	}); allocations > 0 {
		t.Errorf("%v allocations per match", allocations)
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, routeCount := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(routeCount, " routes"), func(b *testing.B) {
			table, paths := tableOfRoutes(routeCount)
			b.ReportAllocs()
			routeIndex := 0
			for b.Loop() {
				if table.Match("desk.example", paths[routeIndex], "GET", nil) != routeIndex {
					b.Fatal("wrong route")
				}
				routeIndex = (routeIndex + 7919) % len(paths)
			}
		})
	}
}
