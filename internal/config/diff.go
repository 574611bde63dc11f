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

// Change is a difference between two versions in one key of a resource, or in a complete resource.
type Change struct {
	Resource string // its ID
	Key      string // "" is the complete resource
	From, To any    // nil where it does not exist
}

// String returns one line: + added, - removed or ~ changed, resource, key and values.
func (c *Change) String() string {
	what := c.Resource
	if c.Key != "" {
		what += " " + c.Key
	}
	switch {
	case c.From == nil:
		return fmt.Sprintf("+ %s %s", what, text(c.To))
	case c.To == nil:
		return fmt.Sprintf("- %s %s", what, text(c.From))
	}
	return fmt.Sprintf("~ %s %s -> %s", what, text(c.From), text(c.To))
}

func text(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}

// Diff returns what differs between two versions, by resource and key.
func Diff(from, to []Resource) (all []Change) {
	before := byID(from)
	after := byID(to)
	for _, id := range sortedUnion(before, after) {
		was := before[id]
		is := after[id]
		switch {
		case was == nil:
			all = append(all, Change{Resource: id, To: is.Fields})
		case is == nil:
			all = append(all, Change{Resource: id, From: was.Fields})
		default:
			all = append(all, diffFields(id, was.Fields, is.Fields)...)
		}
	}
	return all
}

// diffFields returns the changes between the fields of a resource, by key.
func diffFields(id string, from, to map[string]any) (all []Change) {
	for _, key := range sortedUnion(from, to) {
		if !reflect.DeepEqual(from[key], to[key]) {
			all = append(all, Change{id, key, from[key], to[key]})
		}
	}
	return all
}

// sortedUnion returns the keys of two maps, sorted.
func sortedUnion[V any](a, b map[string]V) []string {
	keys := slices.Collect(maps.Keys(a))
	for key := range b {
		if _, both := a[key]; !both {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func byID(all []Resource) map[string]*Resource {
	m := map[string]*Resource{}
	for i := range all {
		m[all[i].ID()] = &all[i]
	}
	return m
}

// Resources returns the tables of a file as the resources of a version, without those that only a file may hold.
func Resources(file *Config) ([]Resource, error) {
	var tree map[string]any
	if err := toml.Unmarshal(file.Text, &tree); err != nil {
		return nil, err
	}
	// JSON has one type of number, like a version.
	b, err := json.Marshal(tree)
	if err != nil {
		return nil, err
	}
	clear(tree)
	if err := json.Unmarshal(b, &tree); err != nil {
		return nil, err
	}
	var all []Resource
	for name, k := range ResourceKinds() {
		switch v := tree[name].(type) {
		case map[string]any:
			all = append(all, Resource{Kind: name, Fields: v})
		case []any:
			if k.List {
				all = append(all, listResources(name, v)...)
			}
		}
	}
	slices.SortFunc(all, func(a, b Resource) int { return strings.Compare(a.ID(), b.ID()) })
	return all, nil
}

// listResources returns the tables of a list as resources. One without a name has its index as its name.
func listResources(kind string, tables []any) (all []Resource) {
	for i, table := range tables {
		fields, ok := table.(map[string]any)
		if !ok {
			continue
		}
		r := Resource{Kind: kind, Fields: fields}
		if r.Name, ok = fields["name"].(string); !ok {
			r.Name = fmt.Sprint(i)
		}
		delete(fields, "name")
		all = append(all, r)
	}
	return all
}
