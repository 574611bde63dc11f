package xdsclient

import (
	"testing"

	typed "github.com/cncf/xds/go/xds/type/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	"dunlinsail/internal/config"
)

// A decoded version has the version_info that it arrived with, combines to a configuration or an error, and never makes
// the process panic.
func FuzzDecode(f *testing.F) {
	file, err := config.Parse([]byte(`
[[listener]]
address = "127.0.0.1:0"
[[pool]]
name = "app"
endpoints = []
[[route]]
pool = "app"
`))
	if err != nil {
		f.Fatal(err)
	}
	for _, kinds := range [][]string{{"class", "requests"}, {"release"}, {"route", "pool", "paths"}, {"process"}, {}} {
		f.Add(encodedResponse(f, kinds))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var r discovery.DiscoveryResponse
		if proto.Unmarshal(b, &r) != nil {
			return
		}
		u, err := decode(&r)
		if err != nil {
			return
		}
		if got := FormatVersionInfo(u.Version.ID); got != r.GetVersionInfo() {
			t.Errorf("version %q was decoded as %q", r.GetVersionInfo(), got)
		}
		if u.Version.Digest == "" || (u.DecodeError == "") != (u.Resources != nil) {
			t.Errorf("%+v", u)
		}
		if u.DecodeError != "" {
			return
		}
		if config.Digest(u.Resources) != u.Version.Digest {
			t.Error("the digest changes")
		}
		c, err := config.Combine(file, u.Resources)
		if err == nil && (len(c.Listeners) != 1 || c.Process != file.Process) {
			t.Error("a table that only the file may hold was replaced")
		}
	})
}

// encodedResponse returns a response with a resource of each kind.
func encodedResponse(f *testing.F, kinds []string) []byte {
	f.Helper()
	r := &discovery.DiscoveryResponse{VersionInfo: "e/1", TypeUrl: TypeURL}
	for _, kind := range kinds {
		value, err := structpb.NewStruct(map[string]any{
			"name":      "look",
			"aim":       "1s",
			"worth":     2.5,
			"rollback":  true,
			"endpoints": []any{"a:1", nil},
			"request":   map[string]any{"set": map[string]any{"a": "b"}},
		})
		if err != nil {
			f.Fatal(err)
		}
		x, err := anypb.New(&typed.TypedStruct{TypeUrl: KindPrefix + kind, Value: value})
		if err != nil {
			f.Fatal(err)
		}
		r.Resources = append(r.Resources, x)
	}
	b, err := proto.Marshal(r)
	if err != nil {
		f.Fatal(err)
	}
	return b
}
