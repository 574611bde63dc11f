package xdsclient

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cncf/xds/go/xds/type/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/rollout"
)

// TypeURL is the type of all resources: a table of the configuration without a type of its own in protobuf, as xDS has it
// for what extends it. One type for all, since xDS promises that a version is whole within a type only.
const TypeURL = "type.googleapis.com/xds.type.v3.TypedStruct"

// KindPrefix goes before a resource's kind in its TypedStruct's type_url.
const KindPrefix = "type.googleapis.com/dunlinsail.config.v1."

// releaseKind is of the one resource that says something of the version itself.
const releaseKind = "release"

// epochMost is how long an epoch's name may be.
const maxEpochLength = 64

// ParseVersion reads a version_info: "17", or "epoch/17" where numbers may begin anew.
func ParseVersionInfo(text string) (rollout.ID, error) {
	epoch, number := "", text
	if i := strings.LastIndexByte(text, '/'); i >= 0 {
		if epoch, number = text[:i], text[i+1:]; epoch == "" {
			return rollout.ID{}, fmt.Errorf("version_info %q: the epoch before / is empty", text)
		}
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil || strconv.FormatUint(n, 10) != number {
		return rollout.ID{}, fmt.Errorf("version_info %q is neither NUMBER nor EPOCH/NUMBER", truncate(text))
	}
	if len(epoch) > maxEpochLength || strings.ContainsFunc(epoch, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return rollout.ID{}, fmt.Errorf("version_info %q: an epoch is at most %d visible ASCII characters", truncate(text), maxEpochLength)
	}
	return rollout.ID{Source: rollout.SourceControlPlane, Epoch: epoch, Number: n}, nil
}

// VersionInfo is what ParseVersion reads.
func FormatVersionInfo(id rollout.ID) string {
	if id.Epoch == "" {
		return strconv.FormatUint(id.Number, 10)
	}
	return id.Epoch + "/" + strconv.FormatUint(id.Number, 10)
}

func truncate(text string) string {
	if len(text) > 80 {
		return text[:80] + "..."
	}
	return text
}

// Update is a version as the service sent it.
type Update struct {
	Version     rollout.Version
	Resources   []config.Resource
	DecodeError string // why it cannot be read; Resources is nil then
}

// decode reads a response, or returns the error of one whose version is not known.
func decode(r *discovery.DiscoveryResponse) (*Update, error) {
	if r.GetTypeUrl() != TypeURL {
		return nil, fmt.Errorf("type_url %q was not asked for", truncate(r.GetTypeUrl()))
	}
	id, err := ParseVersionInfo(r.GetVersionInfo())
	if err != nil {
		return nil, err
	}
	u := &Update{Version: rollout.Version{ID: id}}
	if err := u.decodeResources(r); err != nil {
		u.DecodeError, u.Resources = err.Error(), nil
		// What makes no sense has a digest, too: the same number may come with another content.
		h := sha256.New()
		for _, x := range r.GetResources() {
			h.Write(x.GetValue())
		}
		u.Version.Digest = hex.EncodeToString(h.Sum(nil))
		return u, nil
	}
	u.Version.Digest = config.Digest(u.Resources)
	return u, nil
}

func (u *Update) decodeResources(r *discovery.DiscoveryResponse) error {
	for i, x := range r.GetResources() {
		var s v3.TypedStruct
		if x.GetTypeUrl() != TypeURL {
			return fmt.Errorf("resource %d: type_url %q is not %s", i, truncate(x.GetTypeUrl()), TypeURL)
		}
		if err := proto.Unmarshal(x.GetValue(), &s); err != nil {
			return fmt.Errorf("resource %d: %w", i, err)
		}
		kind, ok := strings.CutPrefix(s.GetTypeUrl(), KindPrefix)
		if !ok {
			return fmt.Errorf("resource %d: type_url %q does not begin with %s", i, truncate(s.GetTypeUrl()), KindPrefix)
		}
		fields := s.GetValue().AsMap()
		if fields == nil {
			fields = map[string]any{}
		}
		if kind == releaseKind {
			if err := u.decodeRelease(fields); err != nil {
				return err
			}
			continue
		}
		res := config.Resource{Kind: kind, Fields: fields}
		if name, has := fields["name"]; has {
			if res.Name, ok = name.(string); !ok {
				return fmt.Errorf("resource %d: %s: its name is no text", i, truncate(kind))
			}
			delete(fields, "name")
		}
		u.Resources = append(u.Resources, res)
	}
	if len(u.Resources) == 0 {
		return fmt.Errorf("no resource is in it: that is what a service says that has lost its own")
	}
	return config.CheckResources(u.Resources)
}

// release reads what is said of the version itself.
func (u *Update) decodeRelease(fields map[string]any) error {
	for key, v := range fields {
		switch key {
		case "rollback":
			on, ok := v.(bool)
			if !ok {
				return fmt.Errorf("release: rollback: %v is neither true nor false", v)
			}
			u.Version.Rollback = on
		case "about": // for people
		default:
			return fmt.Errorf("release: %s: is not a known key", truncate(key))
		}
	}
	return nil
}
