package config

import (
	"net"
	"reflect"
	"strings"
	"time"
)

// controlPlane validates the control plane.
func (v *validator) controlPlane(c *Config) {
	n := &c.ControlPlane
	on := n.Address != ""
	host, _, _ := net.SplitHostPort(n.Address)
	ip := net.ParseIP(host)
	v.Require(!on || isHostPort(n.Address, 1), "control.address", "%q is no host:port with a port in 1..65535",
		n.Address)
	v.Require(!on || n.StateDir != "", "control.state", "is missing: a folder where the last good version is kept")
	v.Require(n.StateDir == "" || strings.HasPrefix(n.StateDir, "/"), "control.state", "%q: must begin with /",
		n.StateDir)
	v.Require(!on || n.Plaintext || n.CA != "" && n.Cert != "" && n.Key != "", "control.ca",
		"ca, cert and key are needed: both sides must be vouched for")
	v.Require(!n.Plaintext || n.CA == "" && n.Cert == "" && n.Key == "", "control.plaintext",
		"means that there is no ca, cert or key")
	v.Require(!on || !n.Plaintext || ip != nil && ip.IsLoopback(), "control.plaintext",
		"is for a service on a loopback address only, not %q", n.Address)
	v.Require(n.HarmMargin >= 0 && n.HarmMargin < 1, "control.trial_margin", "%v: must be in 0..1, not 1", n.HarmMargin)
	v.Require(n.Alpha > 0 && n.Alpha < 0.5, "control.trial_alpha", "%v: must be over 0, under 0.5", n.Alpha)
	v.Require(n.CanaryDuration.Duration == 0 || n.CanaryDuration.Duration >= time.Second, "control.trial",
		"%v: must be \"0s\" or at least 1s", n.CanaryDuration)
	v.Require(n.MinValidationInterval.Duration >= 10*time.Millisecond, "control.gap", "%v: must be at least 10ms",
		n.MinValidationInterval)
	v.Require(n.MaxResponseSize.Bytes >= 4<<10 && n.MaxResponseSize.Bytes <= 64<<20, "control.size_most",
		"must be in 4KiB..64MiB")
	v.Require(n.MaxBackoff.Duration >= 100*time.Millisecond, "control.retry_most", "%v: must be at least 100ms",
		n.MaxBackoff)
	v.pins(n.Pinned)
}

// pins validates what of the file no version replaces.
func (v *validator) pins(pins []string) {
	kinds := ResourceKinds()
	for _, pin := range pins {
		name, key, hasName := strings.Cut(pin, ".")
		kind, known := kinds[name]
		v.Require(known, "control.pin", "%q: %q is no table that a version may hold", pin, name)
		if known && hasName && !kind.List {
			v.Require(hasKey(kind.Type, key), "control.pin", "%q: the table %s has no key %q", pin, name, key)
		}
	}
}

// hasKey reports whether tables of a type have a key.
func hasKey(t reflect.Type, key string) bool {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Tag.Get("toml") == key || f.Anonymous && f.Tag.Get("toml") == "" && hasKey(f.Type, key) {
			return true
		}
	}
	return false
}
