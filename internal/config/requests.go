package config

import (
	"dunlinsail/internal/stricttoml"
)

// Class is a class of requests.
type Class struct {
	Name      string              `toml:"name"`
	Repeat    string              `toml:"repeat"` // "safe", "keyed" or "unsafe"
	Group     string              `toml:"group"`  // keyed only: "all", "zone" or "cell"
	Window    stricttoml.Duration `toml:"window"` // keyed only
	Aim       stricttoml.Duration `toml:"aim"`
	GiveUp    stricttoml.Duration `toml:"give_up"`
	Worth     *float64            `toml:"worth"`
	LateWorth float64             `toml:"late_worth"`
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name      string  `toml:"name"`
	Allowance float64 `toml:"allowance"` // requests a second over all instances
	Share     float64 `toml:"share"`
	Limit     float64 `toml:"limit"` // requests a second over all instances that are let in at most; 0 is no limit
}

// Attempts says what may be tried for a request.
type Attempts struct {
	Most         int                 `toml:"most"`
	Cancel       bool                `toml:"cancel"`
	SecondCopies bool                `toml:"second_copies"`
	RetryBudget  float64             `toml:"retry_budget"` // of a pool that says nothing of its own
	DialTimeout  stricttoml.Duration `toml:"dial_timeout"`
}

// Refusals says what a client is told that is to try again.
type Refusals struct {
	RetryAfter     bool                `toml:"retry_after"`
	RetryAfterMost stricttoml.Duration `toml:"retry_after_most"`
}

// Probes says what endpoints tell of their load.
type Probes struct {
	On     bool     `toml:"on"`
	Report string   `toml:"report"` // "none", "probe" or "answers"
	Fields []string `toml:"fields"`
}

// Rules are the figures of the rules that must hold (PROTOCOL).
type Rules struct {
	DrainGrace   stricttoml.Duration `toml:"drain_grace"`
	ColdFrom     float64             `toml:"cold_from"`
	WarmAfter    stricttoml.Duration `toml:"warm_after"`
	FallMultiple float64             `toml:"fall_multiple"`
	FallAfter    stricttoml.Duration `toml:"fall_after"`
	AskWithin    stricttoml.Duration `toml:"ask_within"`
}

// Prices is what is taken off the service for its cost.
type Prices struct {
	CrossZone float64 `toml:"cross_zone"`
	Probe     float64 `toml:"probe"`
	Waste     float64 `toml:"waste"`
	LateFail  float64 `toml:"late_fail"`
}

// Goal weighs what the users judge.
type Goal struct {
	Whole       float64 `toml:"whole"`
	WorstWindow float64 `toml:"worst_window"`
	WorstClass  float64 `toml:"worst_class"`
	WorstTenant float64 `toml:"worst_tenant"`
}
