package rollout

import (
	"fmt"
	"slices"
)

// Source is the origin of a configuration version.
type Source uint8

// The sources of versions.
const (
	// SourceControlPlane is the xDS management server.
	SourceControlPlane Source = iota
	// SourceFile is the local configuration file. Its versions have an empty epoch, and the process numbers them by
	// counting its reads of the file.
	SourceFile
)

// sourceNames are the names of the sources in stored state. They must not change.
var sourceNames = [...]string{"service", "file"}

// String returns the name of the source in stored state.
func (s Source) String() string { return sourceNames[s] }

// MarshalText returns the name of the source in stored state.
func (s Source) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets the source from the name that MarshalText returns for it.
func (s *Source) UnmarshalText(text []byte) error {
	index := slices.Index(sourceNames[:], string(text))
	if index < 0 {
		return fmt.Errorf("unknown version source %q", text)
	}
	*s = Source(index)
	return nil
}

// ID identifies a configuration version.
type ID struct {
	Source Source `json:"source"`
	Epoch  string `json:"epoch,omitempty"` // namespace of Number; the empty string is a valid epoch
	Number uint64 `json:"number"`
}

// String returns "file 3" for a version of the local file, and "17" or "epoch/17" for one of the control plane.
func (id ID) String() string {
	switch {
	case id.Source == SourceFile:
		return fmt.Sprintf("file %d", id.Number)
	case id.Epoch == "":
		return fmt.Sprint(id.Number)
	}
	return fmt.Sprintf("%s/%d", id.Epoch, id.Number)
}

// Version describes a configuration version that its source offers, without the content.
type Version struct {
	ID
	Digest   string `json:"digest"`             // digest of the content
	Rollback bool   `json:"rollback,omitempty"` // the version may replace one with a higher number
}

// LayeredVersion identifies a complete configuration: a version of the local file, overlaid by a version of the control
// plane if there is one.
type LayeredVersion struct {
	ControlPlane *Version `json:"service,omitempty"`
	File         Version  `json:"file"`
}

// withVersion returns a copy of l in which v replaces the version of the same source.
func (l LayeredVersion) withVersion(v Version) LayeredVersion {
	if v.Source == SourceFile {
		l.File = v
	} else {
		l.ControlPlane = &v
	}
	return l
}

// versionFrom returns the version in l that comes from the given source, nil if there is none.
func (l LayeredVersion) versionFrom(source Source) *Version {
	if source == SourceFile {
		return &l.File
	}
	return l.ControlPlane
}

// String returns a text such as "epoch/17 over file 3", or "file 3" if there is no version of the control plane.
func (l LayeredVersion) String() string {
	if l.ControlPlane == nil {
		return l.File.ID.String()
	}
	return l.ControlPlane.ID.String() + " over " + l.File.ID.String()
}

// sameContent reports whether the versions in l and other have the same digests.
func (l LayeredVersion) sameContent(other LayeredVersion) bool {
	if l.File.Digest != other.File.Digest {
		return false
	}
	if l.ControlPlane == nil || other.ControlPlane == nil {
		return l.ControlPlane == nil && other.ControlPlane == nil
	}
	return l.ControlPlane.Digest == other.ControlPlane.Digest
}
