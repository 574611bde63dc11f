package config

import (
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/stricttoml"
)

// defaults are what a file that says nothing means. deploy/dunlinsaild.toml states them.
func defaults() Config {
	return Config{
		Name:      "dunlinsaild",
		Process:   Process{Memory: stricttoml.Size{Bytes: 256 << 20}, Descriptors: 4096},
		Discovery: Discovery{Mode: "watch"},
		Takeover: Takeover{
			ReadyWithin: stricttoml.Duration{Duration: 10 * time.Second},
			DrainWithin: stricttoml.Duration{Duration: 5 * time.Second},
		},
		AccessLog: AccessLog{
			SampleRate:  1,
			SegmentRows: 20_000,
			SegmentAge:  stricttoml.Duration{Duration: 10 * time.Second},
			MaxBytes:    stricttoml.Size{Bytes: 1 << 30},
		},
		ControlPlane: ControlPlane{Pinned: []string{
			"listener",
			"fleet.zone",
			"fleet.position",
		}, CanaryDuration: stricttoml.Duration{Duration: 30 * time.Second}, HarmMargin: 0.01, Alpha: 0.001,
			MinValidationInterval: stricttoml.Duration{
				Duration: time.Second,
			}, MaxResponseSize: stricttoml.Size{Bytes: 4 << 20}, MaxBackoff: stricttoml.Duration{
				Duration: 30 * time.Second,
			}},
		Connections: Connections{
			MaxIdleTime: stricttoml.Duration{Duration: 15 * time.Second},
			MinIdleTime: stricttoml.Duration{Duration: 100 * time.Millisecond},
		},
		Requests: Requests{MaxOpen: 2000, MinInFlight: 4, MaxInFlight: 1000},
		Fleet: Fleet{
			Instances:       1,
			KeepAlive:       stricttoml.Duration{Duration: 15 * time.Second},
			OverShareWeight: 1,
			WeightBy:        "request",
		},
		Attempts: Attempts{
			MaxAttempts:    3,
			Cancel:         true,
			HedgedRequests: true,
			RetryBudget:    balancer.DefaultRetryRatio,
			DialTimeout:    stricttoml.Duration{Duration: 250 * time.Millisecond},
		},
		Rejections: Rejections{RetryAfter: true, MaxRetryAfter: stricttoml.Duration{Duration: time.Second}},
		Probes:     Probes{Report: "none"},
		Overload:   defaultOverload(),
		Peers: Peers{Fleet: "dunlinsail", CoordinatedUses: []string{
			"further",
			"probes",
			"tenants",
			"level",
			"suspects",
		}, QuotaLease: stricttoml.Duration{Duration: 2 * time.Second},
			LeaseRequestInterval: stricttoml.Duration{
				Duration: 250 * time.Millisecond,
			}, LeaderLease: stricttoml.Duration{Duration: time.Second}, ReserveFraction: 0.1, MaxClockDrift: 0.005},
		Maintenance: Maintenance{
			MaxOut:          1,
			MaxPerZone:      1,
			MaxPerCell:      1,
			Announced:       4,
			CapacityReserve: 0.2,
			Lease:           stricttoml.Duration{Duration: 2 * time.Second},
			QuietPeriod:     stricttoml.Duration{Duration: 5 * time.Second},
		},
		Rules: Rules{DrainGrace: stricttoml.Duration{
			Duration: 250 * time.Millisecond,
		}, WarmupStart: 0.2, WarmupDuration: stricttoml.Duration{Duration: 20 * time.Second},
			FallMultiple: 2.5, FallAfter: stricttoml.Duration{
				Duration: 2 * time.Second,
			}, PollWithin: stricttoml.Duration{
				Duration: 10 * time.Second,
			}},
		Goal:  Goal{Whole: 1},
		Paths: Paths{EncodedSlash: "refuse"},
	}
}
