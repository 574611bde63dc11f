package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Change describes a difference between two versions: in one key of a resource, or an added or removed resource.
type Change struct {
	Resource string // ID of the resource
	Key      string // "" if the complete resource was added or removed
	From, To any    // values in the old and the new version; nil if missing there
}

// String returns the change as one line: "+" (added), "-" (removed) or "~" (changed), the resource's ID, the key
// and the values.
func (c *Change) String() string {
	location := c.Resource
	if c.Key != "" {
		location += " " + c.Key
	}
	switch {
	case c.From == nil:
		return fmt.Sprintf("+ %s %s", location, jsonText(c.To))
	case c.To == nil:
		return fmt.Sprintf("- %s %s", location, jsonText(c.From))
	}
	return fmt.Sprintf("~ %s %s -> %s", location, jsonText(c.From), jsonText(c.To))
}

// jsonText returns a value as JSON, or in the default format of fmt if it cannot be encoded.
func jsonText(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(encoded)
}

// Diff returns the changes from one version to another, sorted by resource ID and key.
func Diff(oldVersion, newVersion []Resource) (changes []Change) {
	oldByID := byID(oldVersion)
	newByID := byID(newVersion)
	for _, id := range sortedUnion(oldByID, newByID) {
		oldResource := oldByID[id]
		newResource := newByID[id]
		switch {
		case oldResource == nil:
			changes = append(changes, Change{Resource: id, To: newResource.Fields})
		case newResource == nil:
			changes = append(changes, Change{Resource: id, From: oldResource.Fields})
		default:
			changes = append(changes, diffFields(id, oldResource.Fields, newResource.Fields)...)
		}
	}
	return changes
}

// diffFields returns the changes between the old and new fields of the resource id, sorted by key.
func diffFields(id string, oldFields, newFields map[string]any) (changes []Change) {
	for _, key := range sortedUnion(oldFields, newFields) {
		if !reflect.DeepEqual(oldFields[key], newFields[key]) {
			changes = append(changes, Change{id, key, oldFields[key], newFields[key]})
		}
	}
	return changes
}

// sortedUnion returns the keys that are in either map, sorted.
func sortedUnion[V any](a, b map[string]V) []string {
	keys := slices.Collect(maps.Keys(a))
	for key := range b {
		if _, inBoth := a[key]; !inBoth {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// byID returns a map of the resources by ID.
func byID(resources []Resource) map[string]*Resource {
	resourceByID := map[string]*Resource{}
	for i := range resources {
		resourceByID[resources[i].ID()] = &resources[i]
	}
	return resourceByID
}

// Resources converts the tables of a file to resources of a version. Tables that only a file may have are skipped.
func Resources(file *Config) ([]Resource, error) {
	var tables map[string]any
	if err := toml.Unmarshal(file.Text, &tables); err != nil {
		return nil, err
	}
	// Encodes as JSON and decodes again, so that all numbers are float64 as in the resources of a version.
	encoded, err := json.Marshal(tables)
	if err != nil {
		return nil, err
	}
	clear(tables)
	if err := json.Unmarshal(encoded, &tables); err != nil {
		return nil, err
	}
	var resources []Resource
	for name, kind := range ResourceKinds() {
		switch table := tables[name].(type) {
		case map[string]any:
			resources = append(resources, Resource{Kind: name, Fields: table})
		case []any:
			if kind.IsList {
				resources = append(resources, listResources(name, table)...)
			}
		}
	}
	slices.SortFunc(resources, func(a, encoded Resource) int { return strings.Compare(a.ID(), encoded.ID()) })
	return resources, nil
}

// listResources returns the tables of a list as resources of a kind. A table without a name is named by its index
// in the list.
func listResources(kind string, tables []any) (resources []Resource) {
	for i, table := range tables {
		fields, ok := table.(map[string]any)
		if !ok {
			continue
		}
		resource := Resource{Kind: kind, Fields: fields}
		if resource.Name, ok = fields["name"].(string); !ok {
			resource.Name = fmt.Sprint(i)
		}
		delete(fields, "name")
		resources = append(resources, resource)
	}
	return resources
}
