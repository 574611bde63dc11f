package config

import (
	"net"
	"reflect"
	"strings"
	"time"
)

// controlPlane validates the settings of the control plane.
func (v *validator) controlPlane(c *Config) {
	plane := &c.ControlPlane
	enabled := plane.Address != ""
	host, _, _ := net.SplitHostPort(plane.Address)
	ip := net.ParseIP(host)
	v.Require(!enabled || isHostPort(plane.Address, 1), "control.address", "%q is no host:port with a port in 1..65535",
		plane.Address)
	v.Require(!enabled || plane.StateDir != "", "control.state",
		"is missing: a folder where the last good version is kept")
	v.Require(plane.StateDir == "" || strings.HasPrefix(plane.StateDir, "/"), "control.state", "%q: must begin with /",
		plane.StateDir)
	v.Require(!enabled || plane.Plaintext || plane.CA != "" && plane.Cert != "" && plane.Key != "", "control.ca",
		"ca, cert and key are needed: both sides must authenticate")
	v.Require(!plane.Plaintext || plane.CA == "" && plane.Cert == "" && plane.Key == "", "control.plaintext",
		"cannot be combined with ca, cert or key")
	v.Require(!enabled || !plane.Plaintext || ip != nil && ip.IsLoopback(), "control.plaintext",
		"is for a service on a loopback address only, not %q", plane.Address)
	v.Require(plane.HarmMargin >= 0 && plane.HarmMargin < 1, "control.trial_margin", "%v: must be in 0..1, not 1",
		plane.HarmMargin)
	v.Require(plane.Alpha > 0 && plane.Alpha < 0.5, "control.trial_alpha", "%v: must be over 0, under 0.5", plane.Alpha)
	v.Require(plane.CanaryDuration.Duration == 0 || plane.CanaryDuration.Duration >= time.Second, "control.trial",
		"%v: must be \"0s\" or at least 1s", plane.CanaryDuration)
	v.Require(plane.MinValidationInterval.Duration >= 10*time.Millisecond, "control.gap", "%v: must be at least 10ms",
		plane.MinValidationInterval)
	v.Require(plane.MaxResponseSize.Bytes >= 4<<10 && plane.MaxResponseSize.Bytes <= 64<<20, "control.size_most",
		"must be in 4KiB..64MiB")
	v.Require(plane.MaxBackoff.Duration >= 100*time.Millisecond, "control.retry_most", "%v: must be at least 100ms",
		plane.MaxBackoff)
	v.pins(plane.PinnedParts)
}

// pins validates the parts of the file that are pinned: each must be a table, or a key or list entry in a table,
// that a version may contain.
func (v *validator) pins(pins []string) {
	kinds := ResourceKinds()
	for _, pin := range pins {
		table, key, hasName := strings.Cut(pin, ".")
		kind, known := kinds[table]
		v.Require(known, "control.pin", "%q: %q is no table that a version may hold", pin, table)
		if known && hasName && !kind.IsList {
			v.Require(hasKey(kind.FieldsType, key), "control.pin", "%q: the table %s has no key %q", pin, table, key)
		}
	}
}

// hasKey reports whether the struct type t, or a struct embedded in it, has a field with the given key.
func hasKey(structType reflect.Type, key string) bool {
	for i := range structType.NumField() {
		field := structType.Field(i)
		if field.Tag.Get("toml") == key || field.Anonymous && field.Tag.Get("toml") == "" && hasKey(field.Type, key) {
			return true
		}
	}
	return false
}
