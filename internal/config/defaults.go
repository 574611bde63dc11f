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
		Takeover:  Takeover{ReadyWithin: stricttoml.Duration{Duration: 10 * time.Second}, DrainWithin: stricttoml.Duration{Duration: 5 * time.Second}},
		Record:    Record{Sample: 1, SegmentRows: 20_000, SegmentAge: stricttoml.Duration{Duration: 10 * time.Second}, Keep: stricttoml.Size{Bytes: 1 << 30}},
		Control: Control{Pin: []string{"listener", "fleet.zone", "fleet.position"}, Trial: stricttoml.Duration{Duration: 30 * time.Second}, Margin: 0.01, Alpha: 0.001,
			Gap: stricttoml.Duration{Duration: time.Second}, SizeMost: stricttoml.Size{Bytes: 4 << 20}, RetryMost: stricttoml.Duration{Duration: 30 * time.Second}},
		Connections: Connections{RestMost: stricttoml.Duration{Duration: 15 * time.Second}, RestLeast: stricttoml.Duration{Duration: 100 * time.Millisecond}},
		Requests:    Requests{Open: 2000, InFlightLeast: 4, InFlightMost: 1000},
		Fleet:       Fleet{Instances: 1, KeepAlive: stricttoml.Duration{Duration: 15 * time.Second}, OverShareWorth: 1, WorthBy: "request"},
		Attempts:    Attempts{Most: 3, Cancel: true, SecondCopies: true, RetryBudget: balancer.DefaultRetryRatio, DialTimeout: stricttoml.Duration{Duration: 250 * time.Millisecond}},
		Refusals:    Refusals{RetryAfter: true, RetryAfterMost: stricttoml.Duration{Duration: time.Second}},
		Probes:      Probes{Report: "none"},
		Overload:    overloadShipped(),
		Peers: Peers{Fleet: "dunlinsail", Lends: []string{"further", "probes", "tenants", "level", "suspects"}, Loan: stricttoml.Duration{Duration: 2 * time.Second},
			Every: stricttoml.Duration{Duration: 250 * time.Millisecond}, Lease: stricttoml.Duration{Duration: time.Second}, Ready: 0.1, Drift: 0.005},
		Work: Work{Most: 1, Zone: 1, Cell: 1, Ahead: 4, Room: 0.2, Lease: stricttoml.Duration{Duration: 2 * time.Second}, Quiet: stricttoml.Duration{Duration: 5 * time.Second}},
		Rules: Rules{DrainGrace: stricttoml.Duration{Duration: 250 * time.Millisecond}, ColdFrom: 0.2, WarmAfter: stricttoml.Duration{Duration: 20 * time.Second},
			FallMultiple: 2.5, FallAfter: stricttoml.Duration{Duration: 2 * time.Second}, AskWithin: stricttoml.Duration{Duration: 10 * time.Second}},
		Goal:  Goal{Whole: 1},
		Paths: Paths{EncodedSlash: "refuse"},
	}
}
