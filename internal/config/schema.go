package config

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/invopop/jsonschema"

	"dunlinsail/internal/stricttoml"
)

// unitPatterns maps the types of values that are written as strings with a unit to regular expressions for these
// strings.
var unitPatterns = map[reflect.Type]string{
	reflect.TypeFor[stricttoml.Duration](): `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`,
	reflect.TypeFor[stricttoml.Size]():     `^[0-9]+ *(B|KiB|MiB|GiB)$`,
	reflect.TypeFor[stricttoml.Mode]():     `^[0-7]{1,4}$`,
}

// Schema returns a JSON Schema (2020-12) for the resources of a version, encoded as Resource. It describes the keys
// and the types of their values; Combine validates the values.
func Schema() ([]byte, error) {
	reflector := jsonschema.Reflector{
		FieldNameTag:               "toml",
		DoNotReference:             true,
		Anonymous:                  true,
		RequiredFromJSONSchemaTags: true,
		Mapper: func(t reflect.Type) *jsonschema.Schema {
			if pattern, ok := unitPatterns[t]; ok {
				return &jsonschema.Schema{Type: "string", Pattern: pattern}
			}
			return nil
		},
	}
	var kindSchemas []*jsonschema.Schema
	kinds := ResourceKinds()
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		kind := kinds[name]
		fields := reflector.ReflectFromType(kind.FieldsType)
		fields.Version = ""
		kindSchema := &jsonschema.Schema{
			Type:                 "object",
			Title:                name,
			Properties:           jsonschema.NewProperties(),
			AdditionalProperties: jsonschema.FalseSchema,
			Required:             []string{"kind", "fields"},
		}
		kindSchema.Properties.Set("kind", &jsonschema.Schema{Const: name})
		if kind.IsList {
			fields.Properties.Delete("name")
			maxLength := uint64(maxNameLength)
			kindSchema.Properties.Set("name", &jsonschema.Schema{Type: "string", MaxLength: &maxLength})
			kindSchema.Required = []string{"kind", "name", "fields"}
		}
		kindSchema.Properties.Set("fields", fields)
		kindSchemas = append(kindSchemas, kindSchema)
	}
	maxItems := uint64(maxResources)
	schema := &jsonschema.Schema{
		Version:  jsonschema.Version,
		Title:    "A version of dunlinsaild's configuration",
		Type:     "array",
		MaxItems: &maxItems,
		Items:    &jsonschema.Schema{OneOf: kindSchemas},
	}
	text, err := json.MarshalIndent(schema, "", "  ")
	return append(text, '\n'), err
}
