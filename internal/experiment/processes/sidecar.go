package processes

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/discovery"
)

// platformLoadFields are the platform's names for the fields of a load report.
var platformLoadFields = map[balancer.LoadMetric]string{
	balancer.MetricInflight:    "busy_reqs",
	balancer.MetricQueueLength: "pending",
	balancer.MetricUtilization: "cpu_share",
	balancer.MetricLatency:     "svc_ms",
	balancer.MetricServedRate:  "served_ps",
	balancer.MetricErrorRate:   "failed_ps",
}

// isSidecar reports whether a program is the platform's sidecar, judging from its file name.
func isSidecar(program string) bool {
	return strings.TrimSuffix(filepath.Base(program), ".test") == "dunlinsail"
}

// sidecarConfig returns the configuration of a sidecar instance in the platform's JSON format.
func (r *run) sidecarConfig(inst *instance) ([]byte, error) {
	// The platform passes the initial endpoint list to the sidecar in its configuration.
	endpointList := discovery.List{Generation: 1, Reset: true, Instances: r.discoveryEntries(inst.index)}
	return json.Marshal(map[string]any{
		"known":     endpointList,
		"name":      fmt.Sprint("instance-", inst.index),
		"listen":    inst.listenAddrs[0],
		"discovery": inst.discoveryServer.Addr,
		"seed":      fmt.Sprintf("%x", r.plan.Seed<<16|uint64(inst.index)),
		"limits":    map[string]any{"memory_mb": 96, "sockets": 1024},
		"settings":  r.sidecarSettings(inst),
	})
}

// sidecarSettings returns the settings of an instance under the platform's names.
func (r *run) sidecarSettings(inst *instance) map[string]any {
	settings := &r.site.Settings
	classes, tenants := sidecarClasses(settings)
	mode := "automatic"
	if settings.Subscribe {
		mode = "subscribe"
	}
	zone := 0
	for zoneIndex, zoneName := range r.site.Zones {
		if zoneName == r.plan.Fleet.Zones[r.plan.Instances[inst.index].Zone] {
			zone = zoneIndex
		}
	}
	return map[string]any{
		"peers-total":      len(r.plan.Instances),
		"position":         inst.index,
		"zone":             zone,
		"areas":            r.site.Zones,
		"skus":             r.site.MachineTypes,
		"discovery":        mode,
		"classes":          classes,
		"tenants":          tenants,
		"over-share-worth": settings.OverQuotaWeight,
		"limits": map[string]any{
			"cancel":          settings.Limits.Cancel,
			"probes":          settings.Limits.Probes,
			"second-copies":   settings.Limits.Hedging,
			"retry-after":     settings.Limits.RetryAfter,
			"most-tries":      settings.Limits.MaxAttempts,
			"most-held":       settings.Limits.MaxOpenRequests,
			"max-retry-after": settings.Limits.MaxRetryAfter,
			"dial-timeout":    settings.Limits.DialTimeout,
			"keepalive":       r.site.KeepAlive.Microseconds(),
		},
		"contract": map[string]any{
			"drain-grace":   settings.Contract.DrainGrace,
			"cold-from":     settings.Contract.WarmupStartCapacity,
			"ramp-time":     settings.Contract.WarmupTime,
			"fall-multiple": settings.Contract.CollapseMultiple,
			"overload-for":  settings.Contract.CollapseAfter,
			"ask-within":    settings.Contract.PollInterval,
		},
		"prices": map[string]any{
			"cross-zone": settings.Prices.CrossZone,
			"probe":      settings.Prices.Probe,
			"waste":      settings.Prices.Waste,
			"late-fail":  settings.Prices.LateFail,
		},
		"goal": map[string]any{
			"whole":        settings.Goal.Overall,
			"worst-window": settings.Goal.WorstWindow,
			"worst-class":  settings.Goal.WorstClass,
			"worst-tenant": settings.Goal.WorstTenant,
		},
		"reporting": map[string]any{"how": "probe", "fields": r.reportFields()},
	}
}

// sidecarClasses returns the classes and tenants of the settings under the platform's names.
func sidecarClasses(settings *balancer.Settings) (classes, tenants []any) {
	for _, class := range settings.Classes {
		table := map[string]any{
			"name":       class.Name,
			"target":     class.LatencyObjective,
			"give-up":    class.ClientTimeout,
			"credit":     class.PriorityWeight,
			"late-value": class.LateWeight,
			"repeat": map[balancer.Idempotency]string{
				balancer.Idempotent:      "pure",
				balancer.IdempotentByKey: "token",
				balancer.NonIdempotent:   "side_effect",
			}[class.Idempotency],
		}
		if class.Idempotency == balancer.IdempotentByKey {
			table["window"] = class.DedupWindow
			table["group"] = map[balancer.DedupScope]string{
				balancer.DedupAll:  "all",
				balancer.DedupZone: "zone",
				balancer.DedupCell: "cell",
			}[class.DedupScope]
		}
		classes = append(classes, table)
	}
	for _, tenant := range settings.Tenants {
		tenants = append(tenants, map[string]any{
			"name":            tenant.Name,
			"allowance-per-s": tenant.Quota,
			"share":           tenant.Share,
		})
	}
	return classes, tenants
}

// reportFields returns the names of the fields of a load report, in the order of the settings.
func (r *run) reportFields() []string {
	if !isSidecar(r.options.Daemon) {
		return r.site.LoadReportFields
	}
	var names []string
	for _, metric := range r.site.Settings.LoadMetrics {
		names = append(names, platformLoadFields[metric])
	}
	return names
}
