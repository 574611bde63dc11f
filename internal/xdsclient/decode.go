package xdsclient

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	typed "github.com/cncf/xds/go/xds/type/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/rollout"
)

// TypeURL is the type_url of all resources. TypedStruct is the xDS type for extensions without a protobuf type of
// their own. All kinds of resources share this type, because xDS guarantees a consistent version only within one
// type.
const TypeURL = "type.googleapis.com/xds.type.v3.TypedStruct"

// KindPrefix is followed by the kind of a resource in the type_url inside its TypedStruct.
const KindPrefix = "type.googleapis.com/dunlinsail.config.v1."

// Names that are sent on the wire.
const (
	releaseKind   = "release"  // kind of the resource with properties of the version itself
	rollbackField = "rollback" // field of a release resource: a boolean for Version.Rollback
	commentField  = "about"    // field of a release resource: a comment for operators, which is ignored
	nameField     = "name"     // field of other resources: the name of the resource
)

// Update is a version that was received from the control plane.
type Update struct {
	Version     rollout.Version
	Resources   []config.Resource
	DecodeError string // reason why the resources cannot be decoded; Resources is nil then
}

// decode returns the update in a response. It returns an error if the type_url or version_info of the response is
// invalid; other mistakes are in Update.DecodeError.
func decode(response *discovery.DiscoveryResponse) (*Update, error) {
	if response.GetTypeUrl() != TypeURL {
		return nil, fmt.Errorf("type_url %q was not asked for", truncate(response.GetTypeUrl()))
	}
	id, err := ParseVersionInfo(response.GetVersionInfo())
	if err != nil {
		return nil, err
	}
	update := &Update{Version: rollout.Version{ID: id}}
	if err := update.decodeResources(response); err != nil {
		update.DecodeError = err.Error()
		update.Resources = nil
		update.Version.Digest = rawDigest(response)
		return update, nil
	}
	update.Version.Digest = config.Digest(update.Resources)
	return update, nil
}

// rawDigest returns a digest of the encoded resources. It identifies contents that cannot be decoded, since
// different contents may have the same version_info.
func rawDigest(response *discovery.DiscoveryResponse) string {
	hash := sha256.New()
	for _, resource := range response.GetResources() {
		hash.Write(resource.GetValue())
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// decodeResources sets the resources, and the properties of the version from a release resource.
func (u *Update) decodeResources(response *discovery.DiscoveryResponse) error {
	for i, packed := range response.GetResources() {
		kind, fields, err := unpack(packed)
		if err != nil {
			return fmt.Errorf("resource %d: %w", i, err)
		}
		if kind == releaseKind {
			if err := u.decodeRelease(fields); err != nil {
				return err
			}
			continue
		}
		resource := config.Resource{Kind: kind, Fields: fields}
		if name, hasName := fields[nameField]; hasName {
			text, isText := name.(string)
			if !isText {
				return fmt.Errorf("resource %d: %s: its name is no text", i, truncate(kind))
			}
			resource.Name = text
			delete(fields, nameField)
		}
		u.Resources = append(u.Resources, resource)
	}
	if len(u.Resources) == 0 {
		return errors.New("no resource is in it: that is what a service says that has lost its own")
	}
	return config.CheckResources(u.Resources)
}

// unpack returns the kind and the fields of a resource.
func unpack(packed *anypb.Any) (kind string, fields map[string]any, err error) {
	if packed.GetTypeUrl() != TypeURL {
		return "", nil, fmt.Errorf("type_url %q is not %s", truncate(packed.GetTypeUrl()), TypeURL)
	}
	var resource typed.TypedStruct
	if err := proto.Unmarshal(packed.GetValue(), &resource); err != nil {
		return "", nil, err
	}
	kind, hasPrefix := strings.CutPrefix(resource.GetTypeUrl(), KindPrefix)
	if !hasPrefix {
		return "", nil, fmt.Errorf("type_url %q does not begin with %s", truncate(resource.GetTypeUrl()), KindPrefix)
	}
	fields = resource.GetValue().AsMap()
	if fields == nil {
		fields = map[string]any{}
	}
	return kind, fields, nil
}

// decodeRelease sets the properties of the version from the fields of a release resource.
func (u *Update) decodeRelease(fields map[string]any) error {
	for key, value := range fields {
		switch key {
		case rollbackField:
			rollback, isBool := value.(bool)
			if !isBool {
				return fmt.Errorf("release: rollback: %v is neither true nor false", value)
			}
			u.Version.Rollback = rollback
		case commentField:
		default:
			return fmt.Errorf("release: %s: is not a known key", truncate(key))
		}
	}
	return nil
}
