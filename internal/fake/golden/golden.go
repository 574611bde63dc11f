// Package golden has the helpers of tests that compare stored and sent forms with golden files: files under a package's
// testdata directory that hold what an earlier build wrote. Golden files are read and never rewritten; so there is no
// way here to update one.
//
// Only tests may import the package. It imports nothing of this module.
package golden

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// Read returns the content of a golden file; path is its place under the testdata directory of the package under test.
func Read(t testing.TB, path ...string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", filepath.Join(path...)))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// ReadLine returns the content of a golden file, as Read does, without the newline in which it must end.
func ReadLine(t testing.TB, path ...string) []byte {
	t.Helper()
	line, hasNewline := bytes.CutSuffix(Read(t, path...), []byte("\n"))
	if !hasNewline {
		t.Fatalf("golden file %s does not end in a newline", filepath.Join(path...))
	}
	return line
}

// CheckJSON checks both directions of a value's stored or sent form: the value, a non-nil pointer, is encoded as want,
// byte for byte; and want is decoded, by DecodeJSON, as a value that is deeply equal to it.
func CheckJSON(t testing.TB, want []byte, value any) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, want) {
		t.Errorf("encoded as\n%s\nwant\n%s", encoded, want)
	}
	decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	DecodeJSON(t, want, decoded)
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("decoded as\n%+v\nwant\n%+v", decoded, value)
	}
}

// DecodeJSON decodes a text into a value that has a field for each of its keys: a key without a field is an error.
func DecodeJSON(t testing.TB, text []byte, into any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		t.Fatalf("decode %s: %v", text, err)
	}
}

// Fill sets every exported field that is reached from a non-nil pointer to a value of its own. Maps get one key and
// slices two elements: the order of a map then does not matter. The values are part of golden files and must not
// change.
func Fill(t testing.TB, pointer any) {
	t.Helper()
	fill(t, reflect.ValueOf(pointer).Elem(), 1)
}

// fill fills v with values from the number next on, and returns the number after the last one that it has used.
func fill(t testing.TB, v reflect.Value, next int) int {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return fill(t, v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				next = fill(t, v.Field(i), next)
			}
		}
		return next
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		next = fill(t, v.Index(0), next)
		return fill(t, v.Index(1), next)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key := reflect.New(v.Type().Key()).Elem()
		value := reflect.New(v.Type().Elem()).Elem()
		next = fill(t, key, next)
		next = fill(t, value, next)
		v.SetMapIndex(key, value)
		return next
	case reflect.String:
		v.SetString(fmt.Sprint("text", next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(next))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(next % 200))
	case reflect.Float64:
		v.SetFloat(float64(next) + 0.25)
	default:
		t.Fatalf("no value for a field of type %v", v.Type())
	}
	return next + 1
}

// RequireFilled reports every field reached from a value that has no value, or an empty slice; of a slice it looks at
// the first element. A field without a value would not show in the golden file that the value is compared with.
func RequireFilled(t testing.TB, name string, value any) {
	t.Helper()
	requireFilled(t, name, reflect.ValueOf(value))
}

func requireFilled(t testing.TB, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			requireFilled(t, path, v.Elem())
			return
		}
	case reflect.Slice:
		if v.Len() > 0 {
			requireFilled(t, path+"[0]", v.Index(0))
			return
		}
	case reflect.Struct:
		for i := range v.NumField() {
			requireFilled(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
		return
	}
	if v.IsZero() || v.Kind() == reflect.Slice {
		t.Errorf("%s has no value", path)
	}
}
