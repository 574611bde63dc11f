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
	Name       string
	IsList     bool         // there may be several, each with a name
	FieldsType reflect.Type // of one
}

// fileOnlyTables are the tables that only the file may hold: a control plane must not change the identity of a process, its
// resources on the host, or who may change these.
var fileOnlyTables = []string{"name", "process", "takeover", "record", "control", "peers", "operators", "work"}

// ResourceKinds returns the kinds that a control plane may send, by name.
func ResourceKinds() map[string]ResourceKind {
	kinds := map[string]ResourceKind{}
	configType := reflect.TypeFor[Config]()
	for i := range configType.NumField() {
		name := configType.Field(i).Tag.Get("toml")
		fieldType := configType.Field(i).Type
		if name == "-" || slices.Contains(fileOnlyTables, name) {
			continue
		}
		kind := ResourceKind{Name: name, FieldsType: fieldType}
		if fieldType.Kind() == reflect.Slice {
			kind.IsList = true
			kind.FieldsType = fieldType.Elem()
		} else if fieldType.Kind() == reflect.Pointer {
			kind.FieldsType = fieldType.Elem()
		}
		kinds[name] = kind
	}
	return kinds
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
func Digest(resources []Resource) string {
	sorted := slices.Clone(resources)
	slices.SortFunc(sorted, func(a, b Resource) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	hash := sha256.New()
	if err := json.NewEncoder(hash).Encode(sorted); err != nil { // keys of maps are sorted
		panic(err) // values that were decoded from JSON can be encoded
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// CheckResources returns what is invalid in a version by itself: unknown kinds, names, and more than the bounds allow.
func CheckResources(resources []Resource) error {
	kinds := ResourceKinds()
	seenIDs := map[string]bool{}
	if len(resources) > maxResources {
		return fmt.Errorf("%d resources, %d at most", len(resources), maxResources)
	}
	values := 0
	for i := range resources {
		resource := &resources[i]
		kind, known := kinds[resource.Kind]
		switch {
		case slices.Contains(fileOnlyTables, resource.Kind):
			return fmt.Errorf("%s: only the instance's own file may hold that", resource.ID())
		case !known:
			return fmt.Errorf(
				"%q is no kind of resource: %s",
				resource.Kind,
				strings.Join(slices.Sorted(maps.Keys(kinds)), ", "),
			)
		case kind.IsList && resource.Name == "":
			return fmt.Errorf("%s: has no name", resource.Kind)
		case !kind.IsList && resource.Name != "":
			return fmt.Errorf("%s: there is one table %s, which has no name", resource.ID(), resource.Kind)
		case len(resource.Name) > maxNameLength:
			return fmt.Errorf("%s: a name of %d bytes, %d at most", resource.Kind, len(resource.Name), maxNameLength)
		case seenIDs[resource.ID()]:
			return fmt.Errorf("%s: stands twice", resource.ID())
		}
		seenIDs[resource.ID()] = true
		if err := checkValue(resource.Fields, maxDepth, &values); err != nil {
			return fmt.Errorf("%s: %w", resource.ID(), err)
		}
	}
	return nil
}

// checkValue returns what is invalid in a value. depth is how many more levels may be nested, and values counts all
// values of the version so far.
func checkValue(value any, depth int, values *int) error {
	if *values++; *values > maxValues {
		return fmt.Errorf("over %d values in one version", maxValues)
	}
	if depth < 0 {
		return fmt.Errorf("nested deeper than %d", maxDepth)
	}
	switch value := value.(type) {
	case map[string]any:
		return checkTable(value, depth, values)
	case []any:
		for _, element := range value {
			if err := checkValue(element, depth-1, values); err != nil {
				return err
			}
		}
	case string:
		if len(value) > maxTextLength {
			return fmt.Errorf("a text of %d bytes, %d at most", len(value), maxTextLength)
		}
	case float64:
		if math.IsNaN(value) || math.IsInf(value, 0) {
			return fmt.Errorf("%v is no number that a file could have", value)
		}
	case bool:
	default: // nil: a version leaves out a key without a value
		return fmt.Errorf("%v is no text, number, truth value, list or table", value)
	}
	return nil
}

func checkTable(table map[string]any, depth int, values *int) error {
	for key, value := range table {
		if len(key) > maxNameLength {
			return fmt.Errorf("a key of %d bytes, %d at most", len(key), maxNameLength)
		}
		if err := checkValue(value, depth-1, values); err != nil {
			return err
		}
	}
	return nil
}

// Combine returns the configuration that a version and a file, which must be valid by itself, have together. The
// resources of a kind replace the file's tables of that name, except what the file pins (ControlPlane.Pinned);
// tables of other kinds stay. Its error names the resource, or the file's key, and the reason.
func Combine(file *Config, resources []Resource) (*Config, error) {
	if len(resources) == 0 {
		return file, nil
	}
	if err := CheckResources(resources); err != nil {
		return nil, err
	}
	var tables map[string]any
	if err := toml.Unmarshal(file.Text, &tables); err != nil {
		return nil, err // unexpected: Parse has accepted it
	}
	m := resourceMerger{
		tables:      tables,
		kinds:       ResourceKinds(),
		pinned:      newPinSet(file.ControlPlane.PinnedParts),
		listOrigins: map[string][]string{},
	}
	byKind := map[string][]Resource{}
	for _, resource := range resources {
		byKind[resource.Kind] = append(byKind[resource.Kind], resource)
	}
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		m.mergeKind(kind, byKind[kind])
	}
	text, err := toml.Marshal(tables)
	if err != nil {
		return nil, err
	}
	combined, err := Parse(text)
	var mistakes stricttoml.Errors
	if errors.As(err, &mistakes) {
		return nil, m.explain(text, mistakes)
	}
	if err != nil {
		return nil, err
	}
	combined.ControlPlane = file.ControlPlane // a version cannot change it
	return combined, nil
}

// merger merges the resources of a version into a file's tree.
type resourceMerger struct {
	tables      map[string]any
	kinds       map[string]ResourceKind
	pinned      map[string]bool
	listOrigins map[string][]string // by kind: the ID of the resource of each entry, "" for one of the file
}

func newPinSet(pins []string) map[string]bool {
	set := map[string]bool{}
	for _, pin := range pins {
		set[pin] = true
	}
	return set
}

// mergeKind merges all resources of a kind.
func (m *resourceMerger) mergeKind(kind string, resources []Resource) {
	switch {
	case m.pinned[kind]:
	case m.kinds[kind].IsList:
		m.mergeList(kind, resources)
	default:
		m.mergeTable(kind, &resources[0])
	}
}

// mergeList replaces a list of tables by the resources of its kind, except for pinned entries. Entries that the file
// has, too, come first and in its order, so that an unchanged list has an unchanged order; the others follow by name.
func (m *resourceMerger) mergeList(kind string, resources []Resource) {
	entries := map[string]map[string]any{}
	origins := map[string]string{}
	for i := range resources {
		resource := &resources[i]
		table := integralFloatsToInts(resource.Fields).(map[string]any)
		table["name"] = resource.Name
		entries[resource.Name] = table
		origins[resource.Name] = resource.ID()
	}
	var names []string
	placed := map[string]bool{}
	fileEntries, _ := m.tables[kind].([]any)
	for _, entry := range fileEntries {
		table, _ := entry.(map[string]any)
		name, _ := table["name"].(string)
		if m.pinned[kind+"."+name] {
			entries[name] = table
			origins[name] = ""
		}
		if entries[name] != nil && !placed[name] {
			names = append(names, name)
			placed[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		if !placed[name] {
			names = append(names, name)
		}
	}
	merged := make([]map[string]any, 0, len(names))
	for _, name := range names {
		merged = append(merged, entries[name])
		m.listOrigins[kind] = append(m.listOrigins[kind], origins[name])
	}
	m.tables[kind] = merged
}

// mergeTable replaces a table by a resource, except for pinned keys.
func (m *resourceMerger) mergeTable(kind string, resource *Resource) {
	fileTable, _ := m.tables[kind].(map[string]any)
	table := integralFloatsToInts(resource.Fields).(map[string]any)
	for key, v := range fileTable {
		if m.pinned[kind+"."+key] {
			table[key] = v
		}
	}
	m.tables[kind] = table
	m.listOrigins[kind] = []string{resource.ID()}
}

// integralFloatsToInts returns a value with its integral floats as integers: JSON has one type of number, TOML two.
func integralFloatsToInts(value any) any {
	switch value := value.(type) {
	case float64:
		if n := int64(value); float64(n) == value && n > -1<<53 && n < 1<<53 {
			return n
		}
	case []any:
		converted := make([]any, len(value))
		for i, element := range value {
			converted[i] = integralFloatsToInts(element)
		}
		return converted
	case map[string]any:
		converted := make(map[string]any, len(value))
		for key, element := range value {
			converted[key] = integralFloatsToInts(element)
		}
		return converted
	}
	return value
}

// maxReportedErrors is how many mistakes of a version are reported.
const maxReportedErrors = 8

// explain returns an error that names the mistakes in a combined text by the resources that they are in.
func (m *resourceMerger) explain(text []byte, mistakes stricttoml.Errors) error {
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
			_, last, _ := cutLastKeyPart(key)
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
func (m *resourceMerger) locate(key string) (origin, rest string) {
	kind, rest, _ := strings.Cut(key, ".")
	index := 0
	if m.kinds[kind].IsList && rest != "" {
		var indexText string
		indexText, rest, _ = strings.Cut(rest, ".")
		_, _ = fmt.Sscan(indexText, &index)
	}
	origins := m.listOrigins[kind]
	if index >= len(origins) || origins[index] == "" {
		return "the file", key
	}
	return origins[index], rest
}

func cutLastKeyPart(key string) (parent, last string, found bool) {
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		return key[:i], key[i+1:], true
	}
	return "", key, false
}
