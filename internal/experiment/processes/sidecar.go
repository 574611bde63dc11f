package processes

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/discovery"
)

// This file starts the platform's sidecar in the daemon's place: the same site, told as the platform tells it.

// wireFields are the figures of a load report by their names on the platform.
var wireFields = map[balancer.Field]string{balancer.FieldInflight: "busy_reqs", balancer.FieldQueue: "pending", balancer.FieldUtil: "cpu_share",
	balancer.FieldLatency: "svc_ms", balancer.FieldServed: "served_ps", balancer.FieldErrors: "failed_ps"}

// isSidecar says whether the program is the platform's sidecar, by its name.
func isSidecar(program string) bool {
	return strings.TrimSuffix(filepath.Base(program), ".test") == "dunlinsail"
}

// sidecarFile is an instance's configuration as the platform writes it.
func (r *run) sidecarFile(in *instance) ([]byte, error) {
	s := &r.site.Settings
	var classes, tenants []any
	for _, c := range s.Classes {
		m := map[string]any{"name": c.Name, "target": c.Aim, "give-up": c.GiveUp, "credit": c.Worth, "late-value": c.LateWorth,
			"repeat": map[balancer.Repeat]string{balancer.Safe: "pure", balancer.Keyed: "token", balancer.Unsafe: "side_effect"}[c.Repeat]}
		if c.Repeat == balancer.Keyed {
			m["window"] = c.Window
			m["group"] = map[balancer.Group]string{balancer.GroupAll: "all", balancer.GroupZone: "zone", balancer.GroupCell: "cell"}[c.Group]
		}
		classes = append(classes, m)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "allowance-per-s": t.Allowance, "share": t.Share})
	}
	mode := "automatic"
	if s.Subscribe {
		mode = "subscribe"
	}
	zone := 0
	for i, z := range r.site.Zones {
		if z == r.plan.Fleet.Zones[r.plan.Instances[in.n].Zone] {
			zone = i
		}
	}
	settings := map[string]any{
		"peers-total": len(r.plan.Instances), "position": in.n, "zone": zone, "areas": r.site.Zones, "skus": r.site.Kinds, "discovery": mode,
		"classes": classes, "tenants": tenants, "over-share-worth": s.OverShareWorth,
		"limits": map[string]any{"cancel": s.Limits.Cancel, "probes": s.Limits.Probes, "second-copies": s.Limits.SecondCopies,
			"retry-after": s.Limits.RetryAfter, "most-tries": s.Limits.MaxAttempts, "most-held": s.Limits.MaxOpen,
			"max-retry-after": s.Limits.MaxRetryAfter, "dial-timeout": s.Limits.DialTimeout, "keepalive": r.site.KeepAlive.Microseconds()},
		"contract": map[string]any{"drain-grace": s.Contract.DrainGrace, "cold-from": s.Contract.ColdFrom, "ramp-time": s.Contract.RampTime,
			"fall-multiple": s.Contract.FallMultiple, "overload-for": s.Contract.OverloadFor, "ask-within": s.Contract.AskWithin},
		"prices": map[string]any{"cross-zone": s.Prices.CrossZone, "probe": s.Prices.Probe, "waste": s.Prices.Waste, "late-fail": s.Prices.LateFail},
		"goal": map[string]any{"whole": s.Goal.Whole, "worst-window": s.Goal.WorstWindow, "worst-class": s.Goal.WorstClass,
			"worst-tenant": s.Goal.WorstTenant},
		"reporting": map[string]any{"how": "probe", "fields": r.fieldNames()},
	}
	known := discovery.List{Generation: 1, Reset: true, Instances: r.entries(in.n)} // as the platform has it
	return json.Marshal(map[string]any{"known": known, "name": fmt.Sprint("instance-", in.n), "listen": in.addrs[0], "discovery": in.roster.Addr,
		"seed": fmt.Sprintf("%x", r.plan.Seed<<16|uint64(in.n)), "limits": map[string]any{"memory_mb": 96, "sockets": 1024}, "settings": settings})
}

// fieldNames are the figures of a load report as the instances know them.
func (r *run) fieldNames() []string {
	if !isSidecar(r.o.Daemon) {
		return r.site.LoadReportFields
	}
	var names []string
	for _, f := range r.site.Settings.Fields {
		names = append(names, wireFields[f])
	}
	return names
}
