package processes

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/discovery"
)

// platformLoadFields are the platform's names of the fields of a load report.
var platformLoadFields = map[balancer.LoadMetric]string{
	balancer.MetricInflight:    "busy_reqs",
	balancer.MetricQueueLength: "pending",
	balancer.MetricUtilization: "cpu_share",
	balancer.MetricLatency:     "svc_ms",
	balancer.MetricServedRate:  "served_ps",
	balancer.MetricErrorRate:   "failed_ps",
}

// isSidecar reports whether a program is the platform's sidecar, by its name.
func isSidecar(program string) bool {
	return strings.TrimSuffix(filepath.Base(program), ".test") == "dunlinsail"
}

// sidecarConfig returns an instance's configuration as the platform writes it.
func (r *run) sidecarConfig(in *instance) ([]byte, error) {
	// The platform gives the endpoints known at the start.
	known := discovery.List{Generation: 1, Reset: true, Instances: r.discoveryEntries(in.index)}
	return json.Marshal(map[string]any{
		"known":     known,
		"name":      fmt.Sprint("instance-", in.index),
		"listen":    in.listenAddrs[0],
		"discovery": in.discovery.Addr,
		"seed":      fmt.Sprintf("%x", r.plan.Seed<<16|uint64(in.index)),
		"limits":    map[string]any{"memory_mb": 96, "sockets": 1024},
		"settings":  r.sidecarSettings(in),
	})
}

// sidecarSettings returns the settings of an instance in the platform's terms.
func (r *run) sidecarSettings(in *instance) map[string]any {
	s := &r.site.Settings
	classes, tenants := sidecarClasses(s)
	mode := "automatic"
	if s.Subscribe {
		mode = "subscribe"
	}
	zone := 0
	for i, z := range r.site.Zones {
		if z == r.plan.Fleet.Zones[r.plan.Instances[in.index].Zone] {
			zone = i
		}
	}
	return map[string]any{
		"peers-total":      len(r.plan.Instances),
		"position":         in.index,
		"zone":             zone,
		"areas":            r.site.Zones,
		"skus":             r.site.Kinds,
		"discovery":        mode,
		"classes":          classes,
		"tenants":          tenants,
		"over-share-worth": s.OverQuotaWeight,
		"limits": map[string]any{
			"cancel":          s.Limits.Cancel,
			"probes":          s.Limits.Probes,
			"second-copies":   s.Limits.Hedging,
			"retry-after":     s.Limits.RetryAfter,
			"most-tries":      s.Limits.MaxAttempts,
			"most-held":       s.Limits.MaxOpenRequests,
			"max-retry-after": s.Limits.MaxRetryAfter,
			"dial-timeout":    s.Limits.DialTimeout,
			"keepalive":       r.site.KeepAlive.Microseconds(),
		},
		"contract": map[string]any{
			"drain-grace":   s.Contract.DrainGrace,
			"cold-from":     s.Contract.WarmupStartCapacity,
			"ramp-time":     s.Contract.WarmupTime,
			"fall-multiple": s.Contract.CollapseMultiple,
			"overload-for":  s.Contract.CollapseAfter,
			"ask-within":    s.Contract.PollInterval,
		},
		"prices": map[string]any{
			"cross-zone": s.Prices.CrossZone,
			"probe":      s.Prices.Probe,
			"waste":      s.Prices.Waste,
			"late-fail":  s.Prices.LateFail,
		},
		"goal": map[string]any{
			"whole":        s.Goal.Overall,
			"worst-window": s.Goal.WorstWindow,
			"worst-class":  s.Goal.WorstClass,
			"worst-tenant": s.Goal.WorstTenant,
		},
		"reporting": map[string]any{"how": "probe", "fields": r.reportFields()},
	}
}

// sidecarClasses returns the classes and tenants of the settings in the platform's terms.
func sidecarClasses(s *balancer.Settings) (classes, tenants []any) {
	for _, c := range s.Classes {
		m := map[string]any{
			"name":       c.Name,
			"target":     c.LatencyObjective,
			"give-up":    c.ClientTimeout,
			"credit":     c.PriorityWeight,
			"late-value": c.LateWeight,
			"repeat": map[balancer.Idempotency]string{
				balancer.Idempotent:      "pure",
				balancer.IdempotentByKey: "token",
				balancer.NonIdempotent:   "side_effect",
			}[c.Idempotency],
		}
		if c.Idempotency == balancer.IdempotentByKey {
			m["window"] = c.DedupWindow
			m["group"] = map[balancer.DedupScope]string{
				balancer.DedupAll:  "all",
				balancer.DedupZone: "zone",
				balancer.DedupCell: "cell",
			}[c.DedupScope]
		}
		classes = append(classes, m)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "allowance-per-s": t.Quota, "share": t.Share})
	}
	return classes, tenants
}

// reportFields are the names of the fields of a load report, in the order of the settings.
func (r *run) reportFields() []string {
	if !isSidecar(r.options.Daemon) {
		return r.site.LoadReportFields
	}
	var names []string
	for _, f := range r.site.Settings.LoadMetrics {
		names = append(names, platformLoadFields[f])
	}
	return names
}
