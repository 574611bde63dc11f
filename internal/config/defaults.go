package config

import (
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/stricttoml"
)

// seconds returns a duration of n seconds.
func seconds(n int) stricttoml.Duration {
	return stricttoml.Duration{Duration: time.Duration(n) * time.Second}
}

// millis returns a duration of n milliseconds.
func millis(n int) stricttoml.Duration {
	return stricttoml.Duration{Duration: time.Duration(n) * time.Millisecond}
}

// defaults returns the default configuration, into which a file is decoded. The comments of deploy/dunlinsaild.toml
// state the same values.
func defaults() Config {
	return Config{
		Name:         "dunlinsaild",
		Process:      Process{Memory: stricttoml.Size{Bytes: 256 << 20}, Descriptors: 4096},
		Discovery:    Discovery{Mode: "watch"},
		Takeover:     Takeover{ReadyTimeout: seconds(10), DrainTimeout: unsetDrainTimeout},
		AccessLog:    defaultAccessLog(),
		ControlPlane: defaultControlPlane(),
		Connections:  Connections{MaxIdleTime: seconds(15), MinIdleTime: millis(100)},
		Requests:     Requests{MaxOpen: 2000, MinInFlight: 4, MaxInFlight: 1000},
		Fleet:        Fleet{Instances: 1, KeepAlive: seconds(15), OverQuotaWeight: 1, WeightUnit: "request"},
		Attempts: Attempts{
			MaxAttempts:    3,
			Cancel:         true,
			HedgedRequests: true,
			RetryBudget:    balancer.DefaultRetryRatio,
			DialTimeout:    millis(250),
		},
		Rejections:  Rejections{RetryAfter: true, MaxRetryAfter: seconds(1)},
		Probes:      Probes{Report: "none"},
		Overload:    defaultOverload(),
		Peers:       defaultPeers(),
		Maintenance: defaultMaintenance(),
		Rules: Rules{
			DrainGrace:       millis(250),
			WarmupStart:      0.2,
			WarmupDuration:   seconds(20),
			CollapseMultiple: 2.5,
			CollapseAfter:    seconds(2),
			MaxPollInterval:  seconds(10),
		},
		Goal:  Goal{Overall: 1},
		Paths: Paths{EncodedSlash: "refuse"},
	}
}

func defaultAccessLog() AccessLog {
	return AccessLog{
		SampleRate:  1,
		SegmentRows: 20_000,
		SegmentAge:  seconds(10),
		MaxBytes:    stricttoml.Size{Bytes: 1 << 30},
	}
}

func defaultControlPlane() ControlPlane {
	return ControlPlane{
		PinnedParts:           []string{"listener", "fleet.zone", "fleet.position"},
		CanaryDuration:        seconds(30),
		HarmMargin:            0.01,
		Alpha:                 0.001,
		MinValidationInterval: seconds(1),
		MaxResponseSize:       stricttoml.Size{Bytes: 4 << 20},
		MaxBackoff:            seconds(30),
	}
}

func defaultPeers() Peers {
	return Peers{
		Fleet:                "dunlinsail",
		CoordinatedUses:      []string{"further", "probes", "tenants", "level", "suspects"},
		QuotaLease:           seconds(2),
		LeaseRequestInterval: millis(250),
		LeaderLease:          seconds(1),
		ReserveFraction:      0.1,
		MaxClockDrift:        0.005,
	}
}

func defaultMaintenance() Maintenance {
	return Maintenance{
		MaxOut:          1,
		MaxOutPerZone:   1,
		MaxOutPerCell:   1,
		MaxAnnounced:    4,
		CapacityReserve: 0.2,
		Lease:           seconds(2),
		InFlightGrace:   seconds(5),
	}
}
