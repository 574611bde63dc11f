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

// Resource is a part of a configuration version that a control plane sends: a table of the configuration, or an
// entry of a list of tables.
type Resource struct {
	Kind   string         `json:"kind"`           // name of the table, for example "class"
	Name   string         `json:"name,omitempty"` // value of the key name of an entry of a list; "" otherwise
	Fields map[string]any `json:"fields"`         // values of the other keys, as decoded from JSON
}

// ID identifies the resource within a version, for example "class/book" or "requests".
func (r *Resource) ID() string {
	if r.Name == "" {
		return r.Kind
	}
	return r.Kind + "/" + r.Name
}

// ResourceKind describes the resources for one table of the configuration.
type ResourceKind struct {
	Name       string
	IsList     bool         // the table is a list: a version may have several resources of the kind, each with a name
	FieldsType reflect.Type // struct type of the table, or of an entry of the list
}

// fileOnlyTables are the tables that a control plane must not send, because it must not change the identity of a
// process, the host resources that it uses, or who may change these.
var fileOnlyTables = []string{"name", "process", "takeover", "record", "control", "peers", "operators", "work"}

// ResourceKinds returns the kinds of resources that a control plane may send, by name.
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

// Limits of a version, so that a faulty control plane cannot exhaust the memory of this process.
const (
	maxResources  = 20_000  // number of resources
	maxNameLength = 255     // length of a resource's name or of a key, in bytes
	maxDepth      = 6       // nesting depth of lists and tables in a resource
	maxValues     = 200_000 // number of values in all resources together
	maxTextLength = 8 << 10 // length of a string value, in bytes
)

// Digest returns a digest of the content of a version. The order of the resources does not affect it.
func Digest(resources []Resource) string {
	sorted := slices.Clone(resources)
	slices.SortFunc(sorted, func(a, b Resource) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	hash := sha256.New()
	if err := json.NewEncoder(hash).Encode(sorted); err != nil { // the encoder sorts the keys of maps
		panic(err) // unreachable: values decoded from JSON can be encoded
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// CheckResources returns an error if a version by itself is invalid: if it has an unknown kind, an invalid or
// repeated name, or exceeds a limit.
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

// checkValue returns an error if a value is invalid. depth is the number of further levels that may be nested in
// it, and values counts the values of the version that have been checked.
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
	default: // nil, too, is invalid: a version omits a key that has no value
		return fmt.Errorf("%v is no text, number, truth value, list or table", value)
	}
	return nil
}

// checkTable returns an error if a key or value of a table is invalid. depth and values are as in checkValue.
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

// Combine returns the configuration that results from applying the resources of a version to a valid file. The
// resources of a kind replace the file's tables of that name, except for the parts that the file pins
// (ControlPlane.PinnedParts). Tables without resources are kept. The error names the resource, or the key of the
// file, and the reason.
func Combine(file *Config, resources []Resource) (*Config, error) {
	if len(resources) == 0 {
		return file, nil
	}
	if err := CheckResources(resources); err != nil {
		return nil, err
	}
	var tables map[string]any
	if err := toml.Unmarshal(file.Text, &tables); err != nil {
		return nil, err // unexpected: Parse has accepted the text
	}
	merger := resourceMerger{
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
		merger.mergeKind(kind, byKind[kind])
	}
	text, err := toml.Marshal(tables)
	if err != nil {
		return nil, err
	}
	combined, err := Parse(text)
	var mistakes stricttoml.Errors
	if errors.As(err, &mistakes) {
		return nil, merger.explain(text, mistakes)
	}
	if err != nil {
		return nil, err
	}
	combined.ControlPlane = file.ControlPlane // a version cannot change this table
	return combined, nil
}

// resourceMerger merges the resources of a version into the tables of a file.
type resourceMerger struct {
	tables      map[string]any          // tables of the file, into which the resources are merged
	kinds       map[string]ResourceKind // by name
	pinned      map[string]bool         // parts of the file that are not replaced
	listOrigins map[string][]string     // by kind: resource ID of each entry or of the table; "" if from the file
}

// newPinSet returns the pinned parts as a set.
func newPinSet(pins []string) map[string]bool {
	set := map[string]bool{}
	for _, pin := range pins {
		set[pin] = true
	}
	return set
}

// mergeKind merges all resources of a kind, unless the kind is pinned.
func (m *resourceMerger) mergeKind(kind string, resources []Resource) {
	switch {
	case m.pinned[kind]:
	case m.kinds[kind].IsList:
		m.mergeList(kind, resources)
	default:
		m.mergeTable(kind, &resources[0])
	}
}

// mergeList replaces a list of tables by the resources of its kind, but keeps pinned entries. Entries whose names
// are in the file's list come first, in the order of the file, so that an unchanged list keeps its order. The other
// entries follow, sorted by name.
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

// mergeTable replaces a table by a resource, but keeps pinned keys.
func (m *resourceMerger) mergeTable(kind string, resource *Resource) {
	fileTable, _ := m.tables[kind].(map[string]any)
	table := integralFloatsToInts(resource.Fields).(map[string]any)
	for key, value := range fileTable {
		if m.pinned[kind+"."+key] {
			table[key] = value
		}
	}
	m.tables[kind] = table
	m.listOrigins[kind] = []string{resource.ID()}
}

// integralFloatsToInts returns a copy of a value in which floats without a fraction are integers: all numbers of
// JSON decode to floats, while TOML distinguishes integers and floats.
func integralFloatsToInts(value any) any {
	switch value := value.(type) {
	case float64:
		if integer := int64(value); float64(integer) == value && integer > -1<<53 && integer < 1<<53 {
			return integer
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

// maxReportedErrors is the largest number of mistakes in a version that an error lists.
const maxReportedErrors = 8

// explain converts the mistakes in the combined text to an error that names the resource of each mistake.
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
			// The key that the TOML library reports lacks indexes in lists.
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

// locate returns the ID of the resource that a key comes from and the key within that resource. For a key of the
// file it returns "the file" and the key itself. Keys in lists of tables are KIND.INDEX.KEY.
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

// cutLastKeyPart splits a dotted key before its last part. found reports whether the key has a dot.
func cutLastKeyPart(key string) (parent, last string, found bool) {
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		return key[:i], key[i+1:], true
	}
	return "", key, false
}
