// Package config reads the daemon's file: TOML, strictly. What is not known, makes no sense or does not fit the
// rest is an error that names key, line and reason; all of them are told at once. It knows the file only: what is
// done with a configuration, package daemon decides.
package config

import (
	"fmt"
	"math"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/decide/route"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/stricttoml"
)

// Config is what a daemon is told by its file.
type Config struct {
	Name string `toml:"name"`

	Process   Process   `toml:"process"`
	Discovery Discovery `toml:"discovery"`
	Takeover  Takeover  `toml:"takeover"`
	Operators Operators `toml:"operators"`
	Record    Record    `toml:"record"`
	Control   Control   `toml:"control"`

	Connections Connections `toml:"connections"`
	Requests    Requests    `toml:"requests"`
	Listeners   []Listener  `toml:"listener"`
	Clients     []Client    `toml:"client"`
	Others      *Bounds     `toml:"others"`

	Fleet    Fleet    `toml:"fleet"`
	Classes  []Class  `toml:"class"`
	Tenants  []Tenant `toml:"tenant"`
	Attempts Attempts `toml:"attempts"`
	Refusals Refusals `toml:"refusals"`
	Probes   Probes   `toml:"probes"`
	Overload Overload `toml:"overload"`
	Peers    Peers    `toml:"peers"`
	Work     Work     `toml:"work"`
	Rules    Rules    `toml:"rules"`
	Prices   Prices   `toml:"prices"`
	Goal     Goal     `toml:"goal"`

	Pools  []Pool  `toml:"pool"`
	Routes []Route `toml:"route"`
	Paths  Paths   `toml:"paths"`

	// Text is the file's, as it was parsed.
	Text []byte `toml:"-"`

	// Table finds the route of a request; nil where there are none, and requests are PROTOCOL's.
	Table *route.Table `toml:"-"`

	// Site is what the decisions are told, made of the tables from fleet on.
	Site siteconfig.Site `toml:"-"`
}

// Process bounds what the daemon takes of its host.
type Process struct {
	Cores       int             `toml:"cores"` // 0 is all there are
	Memory      stricttoml.Size `toml:"memory"`
	Descriptors int             `toml:"descriptors"`
}

// Discovery is where the list of endpoints comes from.
type Discovery struct {
	Address string `toml:"address"`
	Mode    string `toml:"mode"` // "watch" or "ask"
}

// Takeover says how a new process takes over from the one that serves.
type Takeover struct {
	Socket      string              `toml:"socket"` // empty: a restart is a cold start
	ReadyWithin stricttoml.Duration `toml:"ready_within"`
	DrainWithin stricttoml.Duration `toml:"drain_within"`
}

// Operators says where operators call.
type Operators struct {
	Address string `toml:"address"` // host:port on loopback; empty: nowhere
}

// Record says whether and how an access record is kept.
type Record struct {
	Dir         string              `toml:"dir"` // empty: none is
	Sample      float64             `toml:"sample"`
	SegmentRows int                 `toml:"segment_rows"`
	SegmentAge  stricttoml.Duration `toml:"segment_age"`
	Keep        stricttoml.Size     `toml:"keep"`
	Secret      string              `toml:"secret"` // a file
}

// Control says where versions of the configuration come from, beside the file.
type Control struct {
	Address    string              `toml:"address"` // host:port of a control service; empty: there is none
	Node       string              `toml:"node"`    // who this instance is to it; empty: name
	Cluster    string              `toml:"cluster"`
	CA         string              `toml:"ca"`   // files, PEM: by whom the service is vouched for,
	Cert       string              `toml:"cert"` // and what this instance shows
	Key        string              `toml:"key"`
	ServerName string              `toml:"server_name"` // in the service's certificate; empty: the host of address
	Plaintext  bool                `toml:"plaintext"`   // on loopback, without TLS
	State      string              `toml:"state"`       // a folder where good versions are kept
	Pin        []string            `toml:"pin"`         // what of the file no version replaces: "table", "table.key", "list.name"
	Trial      stricttoml.Duration `toml:"trial"`       // how long a version is on trial; 0 is not at all
	Margin     float64             `toml:"trial_margin"`
	Alpha      float64             `toml:"trial_alpha"`
	Gap        stricttoml.Duration `toml:"gap"`
	SizeMost   stricttoml.Size     `toml:"size_most"`
	RetryMost  stricttoml.Duration `toml:"retry_most"`
}

// Tries says whether versions are on trial before they count as good.
func (c *Control) Tries() bool { return (c.Address != "" || c.State != "") && c.Trial.Duration > 0 }

// Connections bounds the connections to clients and endpoints.
type Connections struct {
	Clients   int                 `toml:"clients"`
	AtRest    int                 `toml:"at_rest"`
	RestMost  stricttoml.Duration `toml:"rest_most"`
	RestLeast stricttoml.Duration `toml:"rest_least"`
	Endpoints int                 `toml:"endpoints"`
}

// Requests bounds what the instance takes on.
type Requests struct {
	Open          int `toml:"open"`
	InFlight      int `toml:"in_flight"` // 0 is learned
	InFlightLeast int `toml:"in_flight_least"`
	InFlightMost  int `toml:"in_flight_most"`
}

// Listener is where clients connect.
type Listener struct {
	Name    string          `toml:"name"`
	Address string          `toml:"address"` // host:port on loopback, or unix:/path
	Client  string          `toml:"client"`  // whose connections these are; on a unix socket, only where no uid or gid tells
	Mode    stricttoml.Mode `toml:"mode"`    // of a unix socket
}

// Network returns the listener's network and address as package net takes them.
func (l *Listener) Network() (network, address string) {
	if path, ok := strings.CutPrefix(l.Address, "unix:"); ok {
		return "unix", path
	}
	return "tcp", l.Address
}

// Bounds are what one client may do. 0 is no bound.
type Bounds struct {
	Weight      float64         `toml:"weight"`
	Connections int             `toml:"connections"`
	Open        int             `toml:"open_requests"`
	Bytes       stricttoml.Size `toml:"bytes_held"`
	Rate        float64         `toml:"requests_per_second"`
	Burst       float64         `toml:"burst"` // requests at once; 0 is a tenth of a second's
}

// Share returns the bounds as the decisions between clients take them.
func (b *Bounds) Share(name string) fairqueue.ClientSpec {
	s := fairqueue.ClientSpec{Name: name, Weight: b.Weight, MaxOpen: b.Open, Rate: b.Rate, Burst: b.Burst}
	if s.Rate > 0 && s.Burst == 0 {
		s.Burst = max(1, s.Rate/10)
	}
	return s
}

// Client is a client by name.
type Client struct {
	Name string `toml:"name"`
	Bounds
	UIDs       []uint32 `toml:"uids"`
	GIDs       []uint32 `toml:"gids"`
	PerProcess bool     `toml:"per_process"` // each process on a unix socket is a client of its own, with these bounds
}

// Fleet says what this instance is among others.
type Fleet struct {
	Instances      int                 `toml:"instances"`
	Position       int                 `toml:"position"`
	Zone           string              `toml:"zone"`
	Zones          []string            `toml:"zones"`
	Machines       []string            `toml:"machines"`
	KeepAlive      stricttoml.Duration `toml:"keep_alive"`
	OverShareWorth float64             `toml:"over_share_worth"`
	WorthBy        string              `toml:"worth_by"` // "request" or "work"

	// Of a fleet of many quiet instances (package subset).
	Subset     int     `toml:"subset"`      // endpoints that this instance deals with, at least; 0 is all
	NodeProbes float64 `toml:"node_probes"` // probes a second that one endpoint has for the whole fleet; 0 is no bound
	NodeIdle   float64 `toml:"node_idle"`   // idle connections that one endpoint holds for the whole fleet; 0 is no bound
}

// Part is which part of the list an instance deals with; nil is all of it.
func (f *Fleet) Part() *subset.Settings {
	if f.Subset == 0 && f.NodeProbes == 0 && f.NodeIdle == 0 {
		return nil
	}
	s := &subset.Settings{Position: uint64(f.Position), Instances: f.Instances, MinMembers: f.Subset, EndpointProbes: f.NodeProbes, EndpointIdleConnections: f.NodeIdle}
	if f.Subset == 0 {
		s.MinMembers = math.MaxInt32
	}
	return s
}

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

// Overload says whether the instance bounds what it adds to the load of endpoints that other instances load, too.
type Overload struct {
	On          bool    `toml:"on"`
	Further     float64 `toml:"further"`
	FurtherSick float64 `toml:"further_sick"`
	Probes      float64 `toml:"probes"`
	NodeProbes  float64 `toml:"node_probes"`
	NodeLeast   float64 `toml:"node_least"`
}

// Decides returns the settings of that decision, without what the site says; nil is that it is off.
func (o *Overload) Decides(instances int) *overload.Settings {
	if !o.On {
		return nil
	}
	return &overload.Settings{Instances: instances, RetryRatio: o.Further, OverloadedRetryRatio: o.FurtherSick, ProbeRatio: o.Probes,
		MaxEndpointProbes: o.NodeProbes, MinEndpointProbes: o.NodeLeast}
}

func overloadShipped() Overload {
	s := overload.DefaultSettings()
	return Overload{Further: s.RetryRatio, FurtherSick: s.OverloadedRetryRatio, Probes: s.ProbeRatio, NodeProbes: s.MaxEndpointProbes, NodeLeast: s.MinEndpointProbes}
}

// Peers says how this instance and the others know of one another, and what they decide together.
type Peers struct {
	On       bool                `toml:"on"`
	Fleet    string              `toml:"fleet"`   // of another name is another fleet: they do not mix
	Address  string              `toml:"address"` // host:port, UDP and TCP, that the others reach this instance at
	Beyond   bool                `toml:"beyond_loopback"`
	Join     []string            `toml:"join"`    // addresses of some others
	Lenders  []string            `toml:"lenders"` // names of instances, of which one lends
	Lends    []string            `toml:"lends"`   // what is decided together
	Loan     stricttoml.Duration `toml:"loan"`
	Every    stricttoml.Duration `toml:"every"`
	Lease    stricttoml.Duration `toml:"lease"`
	Ready    float64             `toml:"ready"` // the part of each budget that instances have without a loan
	Drift    float64             `toml:"drift"`
	Ways     []string            `toml:"ways"`  // "ADDRESS=VIA": an instance's address, and where it is reached from here
	SpentLog string              `toml:"spent"` // a file: a line for each unit that is spent of a budget
}

// Work says how machines are taken out for work, in an order that the instances settle among themselves.
type Work struct {
	On    bool                `toml:"on"`
	State string              `toml:"state"` // a file, of an instance that peers.lenders names: its part of the order's log
	Most  int                 `toml:"most"`
	Zone  int                 `toml:"zone"`
	Cell  int                 `toml:"cell"`
	Kind  int                 `toml:"machine"`
	Ahead int                 `toml:"ahead"`
	Room  float64             `toml:"room"`
	Lease stricttoml.Duration `toml:"lease"`
	Quiet stricttoml.Duration `toml:"quiet"`
}

// Consensus returns the settings by which the maintenance plan is replicated; nil is that it is not.
func (c *Config) Consensus() *consensus.Settings {
	w := &c.Work
	if !w.On {
		return nil
	}
	return &consensus.Settings{Self: c.Name, Voters: c.Peers.Lenders, TickInterval: w.Lease.Micros() / 20, Maintenance: maintenance.Settings{MaxOut: w.Most, MaxOutPerZone: w.Zone, MaxOutPerCell: w.Cell, MaxOutPerKind: w.Kind,
		MaxAnnounced: w.Ahead, Headroom: w.Room, LeaseDuration: w.Lease.Micros(), InFlightGrace: w.Quiet.Micros(), Warmup: c.Rules.WarmAfter.Micros(), MaxClockDrift: c.Peers.Drift}}
}

// uses are what peers.lends may name.
var uses = map[string]func(u *engine.CoordinationScope){
	"further":  func(u *engine.CoordinationScope) { u.Retries = true },
	"probes":   func(u *engine.CoordinationScope) { u.Probes = true },
	"tenants":  func(u *engine.CoordinationScope) { u.TenantLimits = true },
	"level":    func(u *engine.CoordinationScope) { u.OverloadLevel = true },
	"suspects": func(u *engine.CoordinationScope) { u.SuspectedEndpoints = true },
}

// Together returns what is decided together, as the engine takes it, without who carries words; nil is nothing.
func (c *Config) Together(seed uint64) *engine.Coordination {
	p := &c.Peers
	if !p.On {
		return nil
	}
	t := &engine.Coordination{Settings: coordination.Settings{Self: c.Name, Candidates: p.Lenders, LeaseDuration: p.Lease.Micros(), Seed: seed, Quota: quota.Settings{
		MaxInstances: c.Fleet.Instances, Reserve: p.Ready, LeaseDuration: p.Loan.Micros(), RequestInterval: p.Every.Micros(), MaxClockDrift: p.Drift}}}
	for _, name := range p.Lends {
		uses[name](&t.Scope)
	}
	return t
}

// Via returns where an instance's address is reached from here.
func (p *Peers) Via() map[string]string {
	via := map[string]string{}
	for _, way := range p.Ways {
		from, to, _ := strings.Cut(way, "=")
		via[from] = to
	}
	return via
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

// Read reads and checks a file. An error of what it holds is strict.Errors.
func Read(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse checks a file's text. Its error is strict.Errors.
func Parse(text []byte) (*Config, error) {
	c := defaults()
	lines, err := stricttoml.Decode(text, &c)
	if err != nil {
		return nil, err
	}
	c.Text = text
	c.fill()
	k := &check{stricttoml.Validation{Lines: lines}}
	k.config(&c)
	if err := k.Err(); err != nil {
		return nil, err
	}
	return &c, nil
}

// Sharing returns how requests are shared out between clients, as the engine takes it.
func (c *Config) Sharing() engine.ConcurrencySettings {
	r := &c.Requests
	s := engine.ConcurrencySettings{MaxInFlight: r.InFlight, MaxOpen: r.Open}
	if r.InFlight == 0 {
		s.Adaptive = &concurrency.Settings{Min: r.InFlightLeast, Max: r.InFlightMost, Initial: min(r.InFlightMost, max(r.InFlightLeast, inFlightFirst))}
	}
	return s
}

// inFlightFirst is how many requests are in flight at first where that is learned.
const inFlightFirst = 16

// RestLimits returns the bounds on clients' connections.
func (c *Config) RestLimits() connlimit.Limits {
	n := &c.Connections
	return connlimit.Limits{MaxConnections: n.Clients, MaxIdle: n.AtRest, MaxIdleTime: n.RestMost.Micros(), MinIdleTime: n.RestLeast.Micros()}
}

// Differs returns the tables that differ between two files and cannot be changed while a daemon serves: all but the
// clients' bounds, pools, routes and where discovery is.
func (c *Config) Differs(next *Config) []string {
	var all []string
	a, b := reflect.ValueOf(*c), reflect.ValueOf(*next)
	for i := range a.NumField() {
		name := a.Type().Field(i).Tag.Get("toml")
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		switch name {
		case "-", "client", "others", "pool", "route", "paths":
			continue
		case "discovery":
			x, y = c.Discovery.Mode, next.Discovery.Mode
		}
		if !reflect.DeepEqual(x, y) {
			all = append(all, name)
		}
	}
	if (len(c.Routes) > 0) != (len(next.Routes) > 0) {
		all = append(all, "route")
	}
	return all
}

// check gathers what is wrong.
type check struct{ stricttoml.Validation }

const (
	ownDescriptors   = 32 // neither clients' nor endpoints': streams, listeners, the runtime, discovery, takeover
	leastDescriptors = 128
	restPart         = 6 // see sidecar.restPart
)

func (k *check) config(c *Config) {
	p := &c.Process
	k.Require(p.Cores >= 0, "process.cores", "%d is negative", p.Cores)
	k.Require(p.Memory.Bytes >= 16<<20, "process.memory", "under 16MiB nothing can be served")
	k.Require(p.Descriptors >= leastDescriptors, "process.descriptors", "%d is under %d", p.Descriptors, leastDescriptors)

	k.routes(c)
	k.Require(len(c.Routes) > 0 || hostPort(c.Discovery.Address, 1), "discovery.address", "%q is no host:port with a port in 1..65535", c.Discovery.Address)
	subscribe := stricttoml.Enum(&k.Validation, "discovery.mode", c.Discovery.Mode, map[string]bool{"watch": false, "ask": true})

	k.Require(c.Takeover.ReadyWithin.Duration > 0, "takeover.ready_within", "must be positive")

	host, _, _ := net.SplitHostPort(c.Operators.Address)
	k.Require(c.Operators.Address == "" || hostPort(c.Operators.Address, 1) && net.ParseIP(host).IsLoopback(), "operators.address", "%q is no host:port on loopback with a port in 1..65535", c.Operators.Address)
	k.record(&c.Record)
	k.control(c)
	k.connections(c)
	k.peers(c)
	k.work(c)
	r := &c.Requests
	k.Require(r.Open >= 1, "requests.open", "%d: must be at least 1", r.Open)
	k.Require(r.InFlight >= 0, "requests.in_flight", "%d is negative", r.InFlight)
	k.Require(r.InFlightLeast >= 1, "requests.in_flight_least", "%d: must be at least 1", r.InFlightLeast)
	k.Require(r.InFlightMost >= r.InFlightLeast, "requests.in_flight_most", "%d is under in_flight_least, %d",
		r.InFlightMost, r.InFlightLeast)

	k.clients(c)
	k.site(c, subscribe)
}

func (k *check) record(r *Record) {
	k.Require(r.Dir == "" || strings.HasPrefix(r.Dir, "/"), "record.dir", "%q: must begin with /", r.Dir)
	k.Require(r.Dir == "" || r.Secret != "", "record.secret", "is missing: a file whose text keys and objects are hashed with")
	k.Require(r.Sample > 0 && r.Sample <= 1, "record.sample", "%v: must be over 0, to 1", r.Sample)
	k.Require(r.SegmentRows >= 100 && r.SegmentRows <= 1_000_000, "record.segment_rows", "%d: must be in 100..1000000", r.SegmentRows)
	k.Require(r.SegmentAge.Duration >= 100*time.Millisecond && r.SegmentAge.Duration <= time.Hour, "record.segment_age", "%v: must be in 100ms..1h", r.SegmentAge)
	k.Require(r.Keep.Bytes == 0 || r.Keep.Bytes >= 1<<20, "record.keep", "under 1MiB nothing is kept; \"0B\" is no bound")
}

func (k *check) peers(c *Config) {
	p := &c.Peers
	seen := map[string]bool{}
	for _, name := range p.Lenders {
		k.Require(name != "", "peers.lenders", "an empty name")
		k.Require(!seen[name], "peers.lenders", "%q is named twice", name)
		seen[name] = true
	}
	for i, name := range p.Lends {
		stricttoml.Enum(&k.Validation, "peers.lends", name, uses)
		k.Require(!slices.Contains(p.Lends[:i], name), "peers.lends", "%q is named twice", name)
	}
	for _, way := range p.Ways {
		from, to, two := strings.Cut(way, "=")
		k.Require(two && hostPort(from, 1) && hostPort(to, 1), "peers.ways", "%q is not ADDRESS=VIA, each host:port", way)
	}
	k.Require(p.Ready >= 0 && p.Ready <= 1, "peers.ready", "%v: must be in 0..1", p.Ready)
	k.Require(p.Drift >= 0 && p.Drift <= 0.1, "peers.drift", "%v: must be in 0..0.1", p.Drift)
	k.Require(p.Every.Duration >= 10*time.Millisecond, "peers.every", "%v: must be at least 10ms", p.Every)
	k.Require(p.Loan.Duration >= 4*p.Every.Duration, "peers.loan", "%v: must be at least four times peers.every, or a lost word ends a loan", p.Loan)
	k.Require(p.Lease.Duration >= 2*p.Every.Duration, "peers.lease", "%v: must be at least twice peers.every", p.Lease)
	if !p.On {
		return
	}
	host, _, _ := net.SplitHostPort(p.Address)
	ip := net.ParseIP(host)
	k.Require(ip != nil && hostPort(p.Address, 1), "peers.address", "%q is no address with a port in 1..65535", p.Address)
	k.Require(p.Beyond || ip == nil || ip.IsLoopback(), "peers.address", "%q is beyond loopback: peers.beyond_loopback says that this is meant", p.Address)
	for _, other := range p.Join {
		k.Require(hostPort(other, 1), "peers.join", "%q is no host:port with a port in 1..65535", other)
	}
	k.Require(p.Fleet != "", "peers.fleet", "is missing")
	k.Require(len(p.Lenders)%2 == 1 && len(p.Lenders) <= 7, "peers.lenders", "must be 1, 3, 5 or 7 names of instances: a majority of them decides who lends")
	k.Require(len(p.Lends) > 0, "peers.lends", "is empty: nothing would be decided together")
	k.Require(c.Fleet.Instances >= len(p.Lenders), "fleet.instances", "%d is under the number of peers.lenders", c.Fleet.Instances)
	words := float64(c.Fleet.Instances) / p.Every.Seconds()
	k.Require(words <= wordsMost, "peers.every", "%v: %d instances would ask the one that lends %.0f times a second; %d are the most", p.Every, c.Fleet.Instances, words, wordsMost)
	k.Require(c.Overload.On || !slices.ContainsFunc(p.Lends, func(n string) bool { return n != "suspects" && n != "tenants" }), "peers.lends",
		"further, probes and level are decided where overload.on is true")
	for i, t := range c.Tenants {
		k.Require(t.Limit == 0 || slices.Contains(p.Lends, "tenants"), fmt.Sprintf("tenant.%d.limit", i), "%q has a limit over all instances: peers.lends must name \"tenants\"", t.Name)
	}
}

func (k *check) work(c *Config) {
	w := &c.Work
	k.Require(w.Most >= 1 && w.Most <= 1000, "work.most", "%d: must be in 1..1000", w.Most)
	for key, v := range map[string]int{"zone": w.Zone, "cell": w.Cell, "machine": w.Kind} {
		k.Require(v >= 0, "work."+key, "%d is negative; 0 is no bound of its own", v)
	}
	k.Require(w.Ahead >= w.Most, "work.ahead", "%d is under work.most, %d: what is out was told ahead", w.Ahead, w.Most)
	k.Require(w.Room >= 0 && w.Room < 1, "work.room", "%v: must be in 0..1, not 1", w.Room)
	k.Require(w.Lease.Duration >= 200*time.Millisecond, "work.lease", "%v: must be at least 200ms", w.Lease)
	k.Require(w.State == "" || strings.HasPrefix(w.State, "/"), "work.state", "%q: must begin with /", w.State)
	if !w.On {
		return
	}
	k.Require(c.Peers.On, "peers.on", "is false: machines are taken out in an order that instances settle by words")
	k.Require(c.Operators.Address != "", "operators.address", "is missing: nobody could ask for work")
	k.Require(len(c.Peers.Lenders) != 1, "peers.lenders", "one alone settles nothing that outlives it: 3, 5 or 7 are needed")
	k.Require(slices.Contains(c.Peers.Lenders, c.Name) == (w.State != ""), "work.state", "is for the instances that peers.lenders names, and needed there")
	k.Require(c.Takeover.Socket == "" || c.Takeover.DrainWithin.Duration <= w.Lease.Duration+w.Quiet.Duration, "takeover.drain_within",
		"%v: a process that gives its place must be over by work.lease and work.quiet together, %v", c.Takeover.DrainWithin, w.Lease.Duration+w.Quiet.Duration)
}

// wordsMost is how many questions a second one instance may be asked, at most: each is a millisecond's tenth of work there.
const wordsMost = 4000

func (k *check) control(c *Config) {
	n := &c.Control
	on := n.Address != ""
	host, _, _ := net.SplitHostPort(n.Address)
	ip := net.ParseIP(host)
	k.Require(!on || hostPort(n.Address, 1), "control.address", "%q is no host:port with a port in 1..65535", n.Address)
	k.Require(!on || n.State != "", "control.state", "is missing: a folder where the last good version is kept")
	k.Require(n.State == "" || strings.HasPrefix(n.State, "/"), "control.state", "%q: must begin with /", n.State)
	k.Require(!on || n.Plaintext || n.CA != "" && n.Cert != "" && n.Key != "", "control.ca", "ca, cert and key are needed: both sides must be vouched for")
	k.Require(!n.Plaintext || n.CA == "" && n.Cert == "" && n.Key == "", "control.plaintext", "means that there is no ca, cert or key")
	k.Require(!on || !n.Plaintext || ip != nil && ip.IsLoopback(), "control.plaintext", "is for a service on a loopback address only, not %q", n.Address)
	k.Require(n.Margin >= 0 && n.Margin < 1, "control.trial_margin", "%v: must be in 0..1, not 1", n.Margin)
	k.Require(n.Alpha > 0 && n.Alpha < 0.5, "control.trial_alpha", "%v: must be over 0, under 0.5", n.Alpha)
	k.Require(n.Trial.Duration == 0 || n.Trial.Duration >= time.Second, "control.trial", "%v: must be \"0s\" or at least 1s", n.Trial)
	k.Require(n.Gap.Duration >= 10*time.Millisecond, "control.gap", "%v: must be at least 10ms", n.Gap)
	k.Require(n.SizeMost.Bytes >= 4<<10 && n.SizeMost.Bytes <= 64<<20, "control.size_most", "must be in 4KiB..64MiB")
	k.Require(n.RetryMost.Duration >= 100*time.Millisecond, "control.retry_most", "%v: must be at least 100ms", n.RetryMost)
	kinds := Kinds()
	for _, pin := range n.Pin {
		kind, of, two := strings.Cut(pin, ".")
		known, ok := kinds[kind]
		k.Require(ok, "control.pin", "%q: %q is no table that a version may hold", pin, kind)
		if ok && two && !known.List {
			k.Require(hasKey(known.Type, of), "control.pin", "%q: the table %s has no key %q", pin, kind, of)
		}
	}
}

// hasKey says whether tables of a type have a key.
func hasKey(t reflect.Type, key string) bool {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Tag.Get("toml") == key || f.Anonymous && f.Tag.Get("toml") == "" && hasKey(f.Type, key) {
			return true
		}
	}
	return false
}

// connections checks the bounds on connections, and fills in those that are left to the descriptors.
func (k *check) connections(c *Config) {
	n, free := &c.Connections, c.Process.Descriptors-ownDescriptors
	if n.Clients == 0 {
		n.Clients = free / 2
	}
	if n.Endpoints == 0 {
		n.Endpoints = max(1, free-n.Clients)
	}
	if n.AtRest == 0 {
		n.AtRest = max(1, min(n.Clients, free/restPart))
	}
	k.Require(n.Clients >= 1, "connections.clients", "%d: must be at least 1", n.Clients)
	k.Require(n.Endpoints >= 1, "connections.endpoints", "%d: must be at least 1", n.Endpoints)
	k.Require(n.Clients+n.Endpoints <= free, "connections.clients", "%d, and %d to endpoints, are over the %d that "+
		"process.descriptors leaves", n.Clients, n.Endpoints, free)
	k.Require(n.AtRest >= 1 && n.AtRest <= n.Clients, "connections.at_rest", "%d: must be in 1..%d, connections.clients",
		n.AtRest, n.Clients)
	k.Require(n.RestMost.Duration > 0, "connections.rest_most", "must be positive")
	k.Require(n.RestLeast.Duration <= n.RestMost.Duration, "connections.rest_least", "%v is over rest_most, %v", n.RestLeast, n.RestMost)
}

func (k *check) clients(c *Config) {
	names := map[string]bool{}
	uids, gids := map[uint32]string{}, map[uint32]string{}
	for i := range c.Clients {
		cl := &c.Clients[i]
		at := func(key string) string { return fmt.Sprintf("client.%d.%s", i, key) }
		k.Require(cl.Name != "", at("name"), "is missing")
		k.Require(!names[cl.Name], at("name"), "%q is named twice", cl.Name)
		names[cl.Name] = true
		k.bounds(&cl.Bounds, at)
		for of, ids := range map[string][]uint32{"uids": cl.UIDs, "gids": cl.GIDs} {
			taken := map[string]map[uint32]string{"uids": uids, "gids": gids}[of]
			for _, id := range ids {
				k.Require(taken[id] == "", at(of), "%d is client %q already", id, taken[id])
				taken[id] = cl.Name
			}
		}
	}
	if c.Others != nil {
		k.bounds(c.Others, func(key string) string { return "others." + key })
	}
	k.Require(len(c.Listeners) > 0, "listener", "at least one is needed")
	listeners, addresses := map[string]bool{}, map[string]bool{}
	for i := range c.Listeners {
		l := &c.Listeners[i]
		at := func(key string) string { return fmt.Sprintf("listener.%d.%s", i, key) }
		k.Require(l.Name != "", at("name"), "is missing")
		k.Require(!listeners[l.Name], at("name"), "%q is named twice", l.Name)
		listeners[l.Name] = true
		k.Require(!addresses[l.Address], at("address"), "%q is listened on twice", l.Address)
		addresses[l.Address] = true
		if network, address := l.Network(); network == "unix" {
			k.Require(strings.HasPrefix(address, "/"), at("address"), "%q: the path of a unix socket must begin with /", l.Address)
			k.Require(len(address) <= 107, at("address"), "the path of a unix socket has at most 107 bytes, not %d", len(address))
			if l.Mode.Bits == 0 {
				l.Mode.Bits = 0o600
			}
		} else {
			host, _, _ := net.SplitHostPort(address)
			ip := net.ParseIP(host)
			k.Require(hostPort(address, 0) && ip != nil && ip.IsLoopback(), at("address"),
				"%q is neither a loopback address with a port up to 65535, as \"127.0.0.1:8080\", nor \"unix:/path\"", l.Address)
			k.Require(l.Mode.Bits == 0, at("mode"), "is for unix sockets only")
			k.Require(l.Client != "" || c.Others != nil, at("client"), "is missing, and there is no table others")
		}
		k.Require(l.Client == "" || names[l.Client], at("client"), "no client is named %q", l.Client)
	}
}

// hostPort says whether an address is a host with a port in numbers, no lower than least.
func hostPort(address string, least uint64) bool {
	host, port, err := net.SplitHostPort(address)
	n, bad := strconv.ParseUint(port, 10, 16)
	return err == nil && host != "" && bad == nil && n >= least
}

func (k *check) bounds(b *Bounds, at func(string) string) {
	if b.Weight == 0 {
		b.Weight = 1
	}
	k.Require(b.Weight > 0 && !math.IsInf(b.Weight, 0), at("weight"), "%v: must be positive", b.Weight)
	k.Require(b.Connections >= 0, at("connections"), "%d is negative", b.Connections)
	k.Require(b.Open >= 0, at("open_requests"), "%d is negative", b.Open)
	k.Require(b.Rate >= 0 && !math.IsInf(b.Rate, 0), at("requests_per_second"), "%v: must not be negative", b.Rate)
	k.Require(b.Burst == 0 || b.Rate > 0, at("burst"), "means nothing without requests_per_second")
	k.Require(b.Burst == 0 || b.Burst >= 1, at("burst"), "%v: must be at least 1", b.Burst)
	k.Require(b.Bytes.Bytes == 0 || b.Bytes.Bytes >= siteconfig.MaxBodyBytes, at("bytes_held"), "under %d a whole body does not fit", siteconfig.MaxBodyBytes)
}

// fields are the figures of a load report by their names on the sockets (BENCH).
var fields = map[string]balancer.LoadMetric{"inflight": balancer.MetricInflight, "queue": balancer.MetricQueueLength,
	"util": balancer.MetricUtilization, "latency_ms": balancer.MetricLatency, "qps": balancer.MetricServedRate, "eps": balancer.MetricErrorRate}

// site makes the settings of the decisions, and checks them under the file's own names.
func (k *check) site(c *Config, subscribe bool) {
	f, a, ru, s := &c.Fleet, &c.Attempts, &c.Rules, &c.Site
	k.Require(f.Instances >= 1, "fleet.instances", "%d: must be at least 1", f.Instances)
	k.Require(f.Position >= 0 && f.Position < max(1, f.Instances), "fleet.position", "%d: must be in 0..%d", f.Position, f.Instances-1)
	zone := max(0, slices.Index(f.Zones, f.Zone))
	k.Require(f.Zone == "" && len(f.Zones) == 0 || slices.Contains(f.Zones, f.Zone), "fleet.zone", "%q is none of fleet.zones", f.Zone)
	k.Require(len(f.Zones) < 255, "fleet.zones", "at most 254")
	k.Require(len(f.Machines) < 255, "fleet.machines", "at most 254")
	k.Require(f.KeepAlive.Duration > 0, "fleet.keep_alive", "must be positive")
	k.Require(f.Subset >= 0 && f.Subset <= 1000, "fleet.subset", "%d: must be in 0..1000", f.Subset)
	k.Require(f.NodeIdle >= 0 && f.NodeIdle <= 1e6, "fleet.node_idle", "%v: must be in 0..1000000", f.NodeIdle)
	k.Require(f.NodeProbes >= 0 && f.NodeProbes <= 1e6, "fleet.node_probes", "%v: must be in 0..1000000", f.NodeProbes)
	k.Require(f.OverShareWorth >= 0 && f.OverShareWorth <= 1, "fleet.over_share_worth", "%v: must be in 0..1", f.OverShareWorth)
	k.Require(a.Most >= 1, "attempts.most", "%d: must be at least 1", a.Most)
	k.Require(a.RetryBudget > 0 && a.RetryBudget <= 10, "attempts.retry_budget", "%v: must be over 0, to 10; attempts.most = 1 is no retries", a.RetryBudget)
	k.Require(a.DialTimeout.Duration > 0, "attempts.dial_timeout", "must be positive")
	k.Require(ru.ColdFrom > 0 && ru.ColdFrom <= 1, "rules.cold_from", "%v: must be in 0..1, not 0", ru.ColdFrom)
	k.Require(ru.FallMultiple > 0, "rules.fall_multiple", "%v: must be positive", ru.FallMultiple)
	k.Require(ru.AskWithin.Duration > 0, "rules.ask_within", "must be positive")
	for key, v := range map[string]float64{"prices.cross_zone": c.Prices.CrossZone, "prices.probe": c.Prices.Probe,
		"prices.waste": c.Prices.Waste, "prices.late_fail": c.Prices.LateFail, "goal.whole": c.Goal.Whole,
		"goal.worst_window": c.Goal.WorstWindow, "goal.worst_class": c.Goal.WorstClass, "goal.worst_tenant": c.Goal.WorstTenant} {
		k.Require(v >= 0 && !math.IsInf(v, 0), key, "%v: must not be negative", v)
	}
	s.Zones, s.Kinds, s.KeepAlive = f.Zones, f.Machines, f.KeepAlive.Duration
	s.Settings = balancer.Settings{
		Balancers: f.Instances, Position: f.Position, Zone: zone, ZoneCount: len(f.Zones), MachineKinds: len(f.Machines),
		Subscribe: subscribe, RetryRatio: a.RetryBudget, OverQuotaWeight: f.OverShareWorth,
		WeightByWork: stricttoml.Enum(&k.Validation, "fleet.worth_by", f.WorthBy, map[string]bool{"request": false, "work": true}),
		Limits: balancer.Limits{Cancel: a.Cancel, Probes: c.Probes.On, Hedging: a.SecondCopies,
			RetryAfter: c.Refusals.RetryAfter, MaxAttempts: a.Most, MaxOpenRequests: c.Requests.Open,
			MaxRetryAfter: c.Refusals.RetryAfterMost.Micros(), DialTimeout: a.DialTimeout.Micros()},
		Contract: balancer.Contract{DrainGrace: ru.DrainGrace.Micros(), WarmupStartCapacity: ru.ColdFrom, WarmupTime: ru.WarmAfter.Micros(),
			CollapseMultiple: ru.FallMultiple, CollapseAfter: ru.FallAfter.Micros(), PollInterval: ru.AskWithin.Micros()},
		Prices: balancer.Prices{CrossZone: c.Prices.CrossZone, Probe: c.Prices.Probe, Waste: c.Prices.Waste, LateFail: c.Prices.LateFail},
		Goal: balancer.Goal{Overall: c.Goal.Whole, WorstWindow: c.Goal.WorstWindow, WorstClass: c.Goal.WorstClass,
			WorstTenant: c.Goal.WorstTenant},
	}
	s.Settings.StrictIdempotencyKeys = len(c.Routes) > 0
	o := &c.Overload
	for key, v := range map[string]float64{"further": o.Further, "further_sick": o.FurtherSick, "probes": o.Probes} {
		k.Require(v >= 0 && v <= 10, "overload."+key, "%v: must be in 0..10", v)
	}
	k.Require(o.FurtherSick <= o.Further, "overload.further_sick", "%v is over further, %v", o.FurtherSick, o.Further)
	k.Require(o.NodeProbes >= 0 && o.NodeProbes <= 1e6, "overload.node_probes", "%v: must be in 0..1000000", o.NodeProbes)
	k.Require(o.NodeLeast > 0 && o.NodeLeast <= 1e6, "overload.node_least", "%v: must be over 0, to 1000000: an endpoint that recovers must be found", o.NodeLeast)
	k.Require(o.NodeProbes == 0 || o.NodeLeast <= o.NodeProbes, "overload.node_least", "%v is over node_probes, %v", o.NodeLeast, o.NodeProbes)
	k.reports(c)
	k.classes(c)
	tenants := map[string]bool{}
	for i, t := range c.Tenants {
		at := func(key string) string { return fmt.Sprintf("tenant.%d.%s", i, key) }
		k.Require(t.Name != "", at("name"), "is missing")
		k.Require(!tenants[t.Name], at("name"), "%q is named twice", t.Name)
		tenants[t.Name] = true
		k.Require(t.Allowance >= 0 && !math.IsInf(t.Allowance, 0), at("allowance"), "%v: must not be negative", t.Allowance)
		k.Require(t.Share >= 0 && t.Share <= 1, at("share"), "%v: must be in 0..1", t.Share)
		k.Require(t.Limit == 0 || t.Limit >= 1 && t.Limit <= 1e6, at("limit"), "%v: must be 0 for none, or in 1..1000000", t.Limit)
		s.Tenants = append(s.Tenants, t.Name)
		s.TenantLimits = append(s.TenantLimits, t.Limit)
		s.Settings.Tenants = append(s.Settings.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Allowance, Share: t.Share})
	}
	if k.Err() == nil {
		err := s.Settings.Validate() // what it knows and this does not
		k.Require(err == nil, "", "%v", err)
	}
}

// reports reads what endpoints tell of their load.
func (k *check) reports(c *Config) {
	s := &c.Site
	s.ReportsOnResponses = stricttoml.Enum(&k.Validation, "probes.report", c.Probes.Report, map[string]bool{"none": false, "probe": false, "answers": true})
	if c.Probes.Report == "none" {
		k.Require(len(c.Probes.Fields) == 0, "probes.fields", "mean nothing while probes.report is \"none\"")
		return
	}
	k.Require(len(c.Probes.Fields) > 0, "probes.fields", "are missing")
	for i, name := range c.Probes.Fields {
		k.Require(!slices.Contains(c.Probes.Fields[:i], name), "probes.fields", "%q is named twice", name)
		s.LoadReportFields = append(s.LoadReportFields, name)
		s.Settings.LoadMetrics = append(s.Settings.LoadMetrics, stricttoml.Enum(&k.Validation, "probes.fields", name, fields))
	}
}

func (k *check) classes(c *Config) {
	s := &c.Site
	k.Require(len(c.Classes) > 0, "class", "at least one is needed")
	k.Require(len(c.Classes) < 255, "class", "at most 254")
	for i := range c.Classes {
		cl := &c.Classes[i]
		at := func(key string) string { return fmt.Sprintf("class.%d.%s", i, key) }
		k.Require(cl.Name != "" && !strings.ContainsAny(cl.Name, "/ ?#%"), at("name"),
			"%q must be a part of a path: neither empty nor with / ? # %% or a space", cl.Name)
		k.Require(!slices.Contains(s.Classes, cl.Name), at("name"), "%q is named twice", cl.Name)
		to := balancer.Class{Name: cl.Name, LatencyObjective: cl.Aim.Micros(), ClientTimeout: cl.GiveUp.Micros(), PriorityWeight: 1, LateWeight: cl.LateWorth}
		to.Idempotency = stricttoml.Enum(&k.Validation, at("repeat"), cl.Repeat, map[string]balancer.Idempotency{
			"safe": balancer.Idempotent, "keyed": balancer.IdempotentByKey, "unsafe": balancer.NonIdempotent})
		if cl.Repeat == "keyed" {
			to.DedupScope = stricttoml.Enum(&k.Validation, at("group"), cl.Group, map[string]balancer.DedupScope{
				"all": balancer.DedupAll, "zone": balancer.DedupZone, "cell": balancer.DedupCell})
			to.DedupWindow = cl.Window.Micros()
			k.Require(cl.Window.Duration > 0, at("window"), "is missing: for how long the group drops a repeat of a key")
		} else {
			k.Require(cl.Group == "" && cl.Window.Duration == 0, at("group"), "group and window are for keyed classes only")
		}
		if cl.Worth != nil {
			to.PriorityWeight = *cl.Worth
		}
		k.Require(to.PriorityWeight >= 0 && !math.IsInf(to.PriorityWeight, 0), at("worth"), "%v: must not be negative", to.PriorityWeight)
		k.Require(cl.Aim.Duration > 0, at("aim"), "is missing")
		k.Require(cl.GiveUp.Duration >= cl.Aim.Duration, at("give_up"), "%v is under aim, %v", cl.GiveUp, cl.Aim)
		k.Require(cl.LateWorth >= 0 && cl.LateWorth <= 1, at("late_worth"), "%v: must be in 0..1", cl.LateWorth)
		s.Classes = append(s.Classes, cl.Name)
		s.Settings.Classes = append(s.Settings.Classes, to)
	}
}
