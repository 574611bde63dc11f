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

// localOnly are the tables that only the file has: what a process is and has on its host, and who may change that.
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

// The bounds of what a version may hold. The service is not trusted with more of this process than it needs.
const (
	maxResources  = 20_000
	maxNameLength = 255
	maxDepth      = 6
	maxValues     = 200_000 // in all resources together
	maxTextLength = 8 << 10 // of one value
)

// Digest returns that of a version's content, whatever the order of its resources.
func Digest(all []Resource) string {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b Resource) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	h := sha256.New()
	if err := json.NewEncoder(h).Encode(sorted); err != nil { // keys of maps are sorted
		panic(err) // of values that a decoder of JSON made
	}
	return hex.EncodeToString(h.Sum(nil))
}

// CheckResources says what of a version makes no sense by itself: kinds, names, and more than may be.
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

func checkValue(v any, depth int, values *int) error {
	if *values++; *values > maxValues {
		return fmt.Errorf("over %d values in one version", maxValues)
	}
	if depth < 0 {
		return fmt.Errorf("nested deeper than %d", maxDepth)
	}
	switch v := v.(type) {
	case map[string]any:
		for name, x := range v {
			if len(name) > maxNameLength {
				return fmt.Errorf("a key of %d bytes, %d at most", len(name), maxNameLength)
			}
			if err := checkValue(x, depth-1, values); err != nil {
				return err
			}
		}
	case []any:
		for _, x := range v {
			if err := checkValue(x, depth-1, values); err != nil {
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
	default: // nil, in a version: a key that has no value is left out
		return fmt.Errorf("%v is no text, number, truth value, list or table", v)
	}
	return nil
}

// Combine returns the configuration that a version comes to over a file, which must be sound by itself. A kind that
// the version holds stands in place of the file's tables of that name, but for what the file pins (Control.Pin); of a
// kind that it does not hold the file's tables stay. Its error names the resource, or the file's key, and the reason.
func Combine(file *Config, all []Resource) (*Config, error) {
	if len(all) == 0 {
		return file, nil
	}
	if err := CheckResources(all); err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := toml.Unmarshal(file.Text, &tree); err != nil {
		return nil, err // it was parsed before
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
	var wrong stricttoml.Errors
	if errors.As(err, &wrong) {
		return nil, m.explain(text, wrong)
	}
	if err != nil {
		return nil, err
	}
	c.ControlPlane = file.ControlPlane // the file's, whatever was made of it
	return c, nil
}

// merger merges the resources of a version into a file's tree.
type merger struct {
	tree        map[string]any
	kinds       map[string]ResourceKind
	pinned      map[string]bool
	listOrigins map[string][]string // of each list, whose its entries are: a resource's ID, or "" for the file's
}

func pinSet(all []string) map[string]bool {
	set := map[string]bool{}
	for _, p := range all {
		set[p] = true
	}
	return set
}

func (m *merger) mergeKind(kind string, all []Resource) {
	if m.pinned[kind] {
		return
	}
	if !m.kinds[kind].List {
		m.mergeTable(kind, &all[0])
		return
	}
	entries := map[string]map[string]any{}
	from := map[string]string{}
	for i := range all {
		r := &all[i]
		table := integralFloatsToInts(r.Fields).(map[string]any)
		table["name"] = r.Name
		entries[r.Name] = table
		from[r.Name] = r.ID()
	}
	var order []string // the file's first, so that a list that is the same is in the same order
	old, _ := m.tree[kind].([]any)
	for _, x := range old {
		table, _ := x.(map[string]any)
		name, _ := table["name"].(string)
		if m.pinned[kind+"."+name] {
			entries[name] = table
			from[name] = ""
		}
		if entries[name] != nil && !slices.Contains(order, name) {
			order = append(order, name)
		}
	}
	placed := map[string]bool{}
	for _, name := range order {
		placed[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		if !placed[name] {
			order = append(order, name)
		}
	}
	list := make([]map[string]any, 0, len(order))
	for _, name := range order {
		list = append(list, entries[name])
		m.listOrigins[kind] = append(m.listOrigins[kind], from[name])
	}
	m.tree[kind] = list
}

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

// explain tells mistakes by the resources that they are in.
func (m *merger) explain(text []byte, wrong stricttoml.Errors) error {
	places := stricttoml.TableLookup(text)
	var lines []string
	for i, e := range wrong {
		if i == maxReportedErrors {
			lines = append(lines, fmt.Sprintf("and %d more", len(wrong)-i))
			break
		}
		key := e.Key
		if place := places(e.Line); place != "" && !strings.HasPrefix(key, place) {
			// The library names a key without its place in a list.
			_, last, _ := cutLast(key)
			key = place + "." + last
		}
		parts := strings.SplitN(key, ".", 3)
		who := "the file"
		rest := key
		if ids := m.listOrigins[parts[0]]; ids != nil {
			at := 0
			inList := m.kinds[parts[0]].List
			if inList && len(parts) > 1 {
				_, _ = fmt.Sscan(parts[1], &at) // the place in a list, a number
			}
			if at < len(ids) && ids[at] != "" {
				who = ids[at]
				rest = strings.Join(parts[1:], ".")
				if inList && len(parts) > 1 {
					rest = strings.Join(parts[2:], ".")
				}
			}
		}
		lines = append(lines, strings.Join(slices.DeleteFunc([]string{
			who,
			rest,
			e.Reason,
		}, func(s string) bool { return s == "" }), ": "))
	}
	return errors.New(strings.Join(lines, "; "))
}

func cutLast(key string) (before, last string, found bool) {
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		return key[:i], key[i+1:], true
	}
	return "", key, false
}
