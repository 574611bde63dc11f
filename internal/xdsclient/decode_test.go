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

// decode must not panic on any response. A decoded version formats to the version_info of the response, and Combine
// either accepts its resources without changing tables that only the file may have, or returns an error.
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
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var response discovery.DiscoveryResponse
		if proto.Unmarshal(encoded, &response) != nil {
			return
		}
		update, err := decode(&response)
		if err != nil {
			return
		}
		if got := FormatVersionInfo(update.Version.ID); got != response.GetVersionInfo() {
			t.Errorf("version %q was decoded as %q", response.GetVersionInfo(), got)
		}
		if update.Version.Digest == "" || (update.DecodeError == "") != (update.Resources != nil) {
			t.Errorf("%+v", update)
		}
		if update.DecodeError != "" {
			return
		}
		if config.Digest(update.Resources) != update.Version.Digest {
			t.Error("the digest changes")
		}
		combined, err := config.Combine(file, update.Resources)
		if err == nil && (len(combined.Listeners) != 1 || combined.Process != file.Process) {
			t.Error("a table that only the file may hold was replaced")
		}
	})
}

// encodedResponse returns an encoded response with one resource of each of the given kinds.
func encodedResponse(f *testing.F, kinds []string) []byte {
	f.Helper()
	response := &discovery.DiscoveryResponse{VersionInfo: "e/1", TypeUrl: TypeURL}
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
		packed, err := anypb.New(&typed.TypedStruct{TypeUrl: KindPrefix + kind, Value: value})
		if err != nil {
			f.Fatal(err)
		}
		response.Resources = append(response.Resources, packed)
	}
	encoded, err := proto.Marshal(response)
	if err != nil {
		f.Fatal(err)
	}
	return encoded
}
