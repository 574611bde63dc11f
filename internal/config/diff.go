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

// Change is what differs between two versions in one key of a resource, or in all of it.
type Change struct {
	Resource string // its ID
	Key      string // "" is the resource as a whole
	From, To any    // nil is that it is not there
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
	ids := slices.Collect(maps.Keys(before))
	for id := range after {
		if _, both := before[id]; !both {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		x := before[id]
		y := after[id]
		switch {
		case x == nil:
			all = append(all, Change{Resource: id, To: y.Fields})
		case y == nil:
			all = append(all, Change{Resource: id, From: x.Fields})
		default:
			keys := slices.Collect(maps.Keys(x.Fields))
			for key := range y.Fields {
				if _, both := x.Fields[key]; !both {
					keys = append(keys, key)
				}
			}
			slices.Sort(keys)
			for _, key := range keys {
				was := x.Fields[key]
				is := y.Fields[key]
				if !reflect.DeepEqual(was, is) {
					all = append(all, Change{id, key, was, is})
				}
			}
		}
	}
	return all
}

func byID(all []Resource) map[string]*Resource {
	m := map[string]*Resource{}
	for i := range all {
		m[all[i].ID()] = &all[i]
	}
	return m
}

// Resources returns what a file holds, as a version would hold it, but for what only a file may.
func Resources(file *Config) ([]Resource, error) {
	var tree map[string]any
	if err := toml.Unmarshal(file.Text, &tree); err != nil {
		return nil, err
	}
	// As JSON has it: one kind of number.
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
			for i, x := range v {
				fields, ok := x.(map[string]any)
				if !ok || !k.List {
					continue
				}
				r := Resource{Kind: name, Fields: fields}
				if r.Name, ok = fields["name"].(string); !ok {
					r.Name = fmt.Sprint(i)
				}
				delete(fields, "name")
				all = append(all, r)
			}
		}
	}
	slices.SortFunc(all, func(a, b Resource) int { return strings.Compare(a.ID(), b.ID()) })
	return all, nil
}
