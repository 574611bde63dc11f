package rollout

import (
	"fmt"
	"slices"
)

// Source is the origin of a version.
type Source uint8

// The sources of versions.
const (
	// SourceControlPlane is the xDS management server.
	SourceControlPlane Source = iota
	// SourceFile is the local file. Its epoch is empty, and its numbers count the times that the process has read it.
	SourceFile
)

// sourceNames are the stored names, which never change.
var sourceNames = [...]string{"service", "file"}

// String returns the source's stored name.
func (s Source) String() string { return sourceNames[s] }

// MarshalText returns the source's stored name.
func (s Source) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses what MarshalText returns.
func (s *Source) UnmarshalText(text []byte) error {
	index := slices.Index(sourceNames[:], string(text))
	if index < 0 {
		return fmt.Errorf("%q is no source of versions", text)
	}
	*s = Source(index)
	return nil
}

// ID identifies a version.
type ID struct {
	Source Source `json:"source"`
	Epoch  string `json:"epoch,omitempty"` // namespace of the number; the empty string is a valid one
	Number uint64 `json:"number"`
}

// String returns "file 3", "17" or "epoch/17".
func (id ID) String() string {
	switch {
	case id.Source == SourceFile:
		return fmt.Sprintf("file %d", id.Number)
	case id.Epoch == "":
		return fmt.Sprint(id.Number)
	}
	return fmt.Sprintf("%s/%d", id.Epoch, id.Number)
}

// Version is a version as its source offers it.
type Version struct {
	ID
	Digest   string `json:"digest"`             // of its content
	Rollback bool   `json:"rollback,omitempty"` // may be applied over a newer one
}

// LayeredVersion is the configuration that an instance runs: a version of the control plane, or none, over a version of
// the local file.
type LayeredVersion struct {
	ControlPlane *Version `json:"service,omitempty"`
	File         Version  `json:"file"`
}

// with returns a copy in which v replaces the version of its source.
func (l LayeredVersion) with(v Version) LayeredVersion {
	if v.Source == SourceFile {
		l.File = v
	} else {
		l.ControlPlane = &v
	}
	return l
}

// version returns the version of a source, nil for none.
func (l LayeredVersion) version(source Source) *Version {
	if source == SourceFile {
		return &l.File
	}
	return l.ControlPlane
}

// String returns "epoch/17 over file 3", or "file 3".
func (l LayeredVersion) String() string {
	if l.ControlPlane == nil {
		return l.File.ID.String()
	}
	return l.ControlPlane.ID.String() + " over " + l.File.ID.String()
}

// sameContent reports whether both have the same content in each layer, by digest.
func (l LayeredVersion) sameContent(other LayeredVersion) bool {
	if l.File.Digest != other.File.Digest {
		return false
	}
	if l.ControlPlane == nil || other.ControlPlane == nil {
		return l.ControlPlane == nil && other.ControlPlane == nil
	}
	return l.ControlPlane.Digest == other.ControlPlane.Digest
}
