package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"dunlinsail/internal/stricttoml"
)

// Resource is a part of a version of the configuration, as a control plane sends it: a table of the file, or one of
// a list of tables.
type Resource struct {
	Kind   string         `json:"kind"`           // the table's name, as "class"
	Name   string         `json:"name,omitempty"` // of one of a list, as its key name; else ""
	Fields map[string]any `json:"fields"`         // as decoded from JSON, without the name
}

// ID identifies the resource within a version: "class/book", "requests".
func (r *Resource) ID() string {
	if r.Name == "" {
		return r.Kind
	}
	return r.Kind + "/" + r.Name
}

// ResourceKind describes the resources of one table.
type ResourceKind struct {
	Name string
	List bool         // there may be several, each with a name
	Type reflect.Type // of one
}

// localOnly are the tables that only the file may hold: a control plane must not change the identity of a process, its
// resources on the host, or who may change these.
var localOnly = []string{"name", "process", "takeover", "record", "control", "peers", "operators", "work"}

// ResourceKinds returns the kinds that a control plane may send, by name.
func ResourceKinds() map[string]ResourceKind {
	all := map[string]ResourceKind{}
	of := reflect.TypeFor[Config]()
	for i := range of.NumField() {
		name := of.Field(i).Tag.Get("toml")
		t := of.Field(i).Type
		if name == "-" || slices.Contains(localOnly, name) {
			continue
		}
		k := ResourceKind{Name: name, Type: t}
		if t.Kind() == reflect.Slice {
			k.List = true
			k.Type = t.Elem()
		} else if t.Kind() == reflect.Pointer {
			k.Type = t.Elem()
		}
		all[name] = k
	}
	return all
}

// Bounds of a version, so that a faulty control plane cannot exhaust this process.
const (
	maxResources  = 20_000  // in a version
	maxNameLength = 255     // bytes of a resource's name, or of a key
	maxDepth      = 6       // of lists and tables within each other
	maxValues     = 200_000 // in all resources of a version
	maxTextLength = 8 << 10 // bytes of one value
)

// Digest returns the digest of a version's content. It does not depend on the order of the resources.
func Digest(all []Resource) string {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b Resource) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	h := sha256.New()
	if err := json.NewEncoder(h).Encode(sorted); err != nil { // keys of maps are sorted
		panic(err) // values that were decoded from JSON can be encoded
	}
	return hex.EncodeToString(h.Sum(nil))
}

// CheckResources returns what is invalid in a version by itself: unknown kinds, names, and more than the bounds allow.
func CheckResources(all []Resource) error {
	kinds := ResourceKinds()
	seen := map[string]bool{}
	if len(all) > maxResources {
		return fmt.Errorf("%d resources, %d at most", len(all), maxResources)
	}
	values := 0
	for i := range all {
		r := &all[i]
		k, known := kinds[r.Kind]
		switch {
		case slices.Contains(localOnly, r.Kind):
			return fmt.Errorf("%s: only the instance's own file may hold that", r.ID())
		case !known:
			return fmt.Errorf(
				"%q is no kind of resource: %s",
				r.Kind,
				strings.Join(slices.Sorted(maps.Keys(kinds)), ", "),
			)
		case k.List && r.Name == "":
			return fmt.Errorf("%s: has no name", r.Kind)
		case !k.List && r.Name != "":
			return fmt.Errorf("%s: there is one table %s, which has no name", r.ID(), r.Kind)
		case len(r.Name) > maxNameLength:
			return fmt.Errorf("%s: a name of %d bytes, %d at most", r.Kind, len(r.Name), maxNameLength)
		case seen[r.ID()]:
			return fmt.Errorf("%s: stands twice", r.ID())
		}
		seen[r.ID()] = true
		if err := checkValue(r.Fields, maxDepth, &values); err != nil {
			return fmt.Errorf("%s: %w", r.ID(), err)
		}
	}
	return nil
}

// checkValue returns what is invalid in a value. depth is how many more levels may be nested, and values counts all
// values of the version so far.
func checkValue(v any, depth int, values *int) error {
	if *values++; *values > maxValues {
		return fmt.Errorf("over %d values in one version", maxValues)
	}
	if depth < 0 {
		return fmt.Errorf("nested deeper than %d", maxDepth)
	}
	switch v := v.(type) {
	case map[string]any:
		return checkTable(v, depth, values)
	case []any:
		for _, element := range v {
			if err := checkValue(element, depth-1, values); err != nil {
				return err
			}
		}
	case string:
		if len(v) > maxTextLength {
			return fmt.Errorf("a text of %d bytes, %d at most", len(v), maxTextLength)
		}
	case float64:
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("%v is no number that a file could have", v)
		}
	case bool:
	default: // nil: a version leaves out a key without a value
		return fmt.Errorf("%v is no text, number, truth value, list or table", v)
	}
	return nil
}

func checkTable(table map[string]any, depth int, values *int) error {
	for key, v := range table {
		if len(key) > maxNameLength {
			return fmt.Errorf("a key of %d bytes, %d at most", len(key), maxNameLength)
		}
		if err := checkValue(v, depth-1, values); err != nil {
			return err
		}
	}
	return nil
}

// Combine returns the configuration that a version and a file, which must be valid by itself, have together. The
// resources of a kind replace the file's tables of that name, except what the file pins (ControlPlane.Pinned);
// tables of other kinds stay. Its error names the resource, or the file's key, and the reason.
func Combine(file *Config, all []Resource) (*Config, error) {
	if len(all) == 0 {
		return file, nil
	}
	if err := CheckResources(all); err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(file.Text, &tree); err != nil {
		return nil, err // unexpected: Parse has accepted it
	}
	m := merger{
		tree:        tree,
		kinds:       ResourceKinds(),
		pinned:      pinSet(file.ControlPlane.Pinned),
		listOrigins: map[string][]string{},
	}
	byKind := map[string][]Resource{}
	for _, r := range all {
		byKind[r.Kind] = append(byKind[r.Kind], r)
	}
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		m.mergeKind(kind, byKind[kind])
	}
	text, err := toml.Marshal(tree)
	if err != nil {
		return nil, err
	}
	c, err := Parse(text)
	var mistakes stricttoml.Errors
	if errors.As(err, &mistakes) {
		return nil, m.explain(text, mistakes)
	}
	if err != nil {
		return nil, err
	}
	c.ControlPlane = file.ControlPlane // a version cannot change it
	return c, nil
}

// merger merges the resources of a version into a file's tree.
type merger struct {
	tree        map[string]any
	kinds       map[string]ResourceKind
	pinned      map[string]bool
	listOrigins map[string][]string // by kind: the ID of the resource of each entry, "" for one of the file
}

func pinSet(all []string) map[string]bool {
	set := map[string]bool{}
	for _, p := range all {
		set[p] = true
	}
	return set
}

// mergeKind merges all resources of a kind.
func (m *merger) mergeKind(kind string, all []Resource) {
	switch {
	case m.pinned[kind]:
	case m.kinds[kind].List:
		m.mergeList(kind, all)
	default:
		m.mergeTable(kind, &all[0])
	}
}

// mergeList replaces a list of tables by the resources of its kind, except for pinned entries. Entries that the file
// has, too, come first and in its order, so that an unchanged list has an unchanged order; the others follow by name.
func (m *merger) mergeList(kind string, all []Resource) {
	entries := map[string]map[string]any{}
	origins := map[string]string{}
	for i := range all {
		r := &all[i]
		table := integralFloatsToInts(r.Fields).(map[string]any)
		table["name"] = r.Name
		entries[r.Name] = table
		origins[r.Name] = r.ID()
	}
	var order []string
	placed := map[string]bool{}
	old, _ := m.tree[kind].([]any)
	for _, entry := range old {
		table, _ := entry.(map[string]any)
		name, _ := table["name"].(string)
		if m.pinned[kind+"."+name] {
			entries[name] = table
			origins[name] = ""
		}
		if entries[name] != nil && !placed[name] {
			order = append(order, name)
			placed[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		if !placed[name] {
			order = append(order, name)
		}
	}
	list := make([]map[string]any, 0, len(order))
	for _, name := range order {
		list = append(list, entries[name])
		m.listOrigins[kind] = append(m.listOrigins[kind], origins[name])
	}
	m.tree[kind] = list
}

// mergeTable replaces a table by a resource, except for pinned keys.
func (m *merger) mergeTable(kind string, r *Resource) {
	old, _ := m.tree[kind].(map[string]any)
	table := integralFloatsToInts(r.Fields).(map[string]any)
	for key, v := range old {
		if m.pinned[kind+"."+key] {
			table[key] = v
		}
	}
	m.tree[kind] = table
	m.listOrigins[kind] = []string{r.ID()}
}

// integralFloatsToInts returns a value with its integral floats as integers: JSON has one type of number, TOML two.
func integralFloatsToInts(v any) any {
	switch v := v.(type) {
	case float64:
		if n := int64(v); float64(n) == v && n > -1<<53 && n < 1<<53 {
			return n
		}
	case []any:
		all := make([]any, len(v))
		for i, x := range v {
			all[i] = integralFloatsToInts(x)
		}
		return all
	case map[string]any:
		all := make(map[string]any, len(v))
		for key, x := range v {
			all[key] = integralFloatsToInts(x)
		}
		return all
	}
	return v
}

// maxReportedErrors is how many mistakes of a version are reported.
const maxReportedErrors = 8

// explain returns an error that names the mistakes in a combined text by the resources that they are in.
func (m *merger) explain(text []byte, mistakes stricttoml.Errors) error {
	tableAt := stricttoml.TableLookup(text)
	var reports []string
	for i, mistake := range mistakes {
		if i == maxReportedErrors {
			reports = append(reports, fmt.Sprintf("and %d more", len(mistakes)-i))
			break
		}
		key := mistake.Key
		if table := tableAt(mistake.Line); table != "" && !strings.HasPrefix(key, table) {
			// The library leaves the index in a list out of a key.
			_, last, _ := cutLast(key)
			key = table + "." + last
		}
		origin, rest := m.locate(key)
		parts := []string{origin, rest, mistake.Reason}
		parts = slices.DeleteFunc(parts, func(part string) bool { return part == "" })
		reports = append(reports, strings.Join(parts, ": "))
	}
	return errors.New(strings.Join(reports, "; "))
}

// locate returns the ID of the resource that has a key, and the key within it; or "the file" and the complete key. In a
// list of tables a key is KIND.INDEX.KEY.
func (m *merger) locate(key string) (origin, rest string) {
	kind, rest, _ := strings.Cut(key, ".")
	index := 0
	if m.kinds[kind].List && rest != "" {
		var text string
		text, rest, _ = strings.Cut(rest, ".")
		_, _ = fmt.Sscan(text, &index)
	}
	origins := m.listOrigins[kind]
	if index >= len(origins) || origins[index] == "" {
		return "the file", key
	}
	return origins[index], rest
}

func cutLast(key string) (before, last string, found bool) {
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		return key[:i], key[i+1:], true
	}
	return "", key, false
}
