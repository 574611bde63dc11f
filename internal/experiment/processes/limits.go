package processes

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/pelletier/go-toml/v2"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/config"
)

// hasTenantLimits reports whether the daemons enforce a rate limit for any tenant.
func (r *run) hasTenantLimits() bool {
	hasLimit := func(tenant config.Tenant) bool { return tenant.RateLimit > 0 }
	return !isSidecar(r.options.Daemon) && slices.ContainsFunc(r.config.Tenants, hasLimit)
}

// quotaLogPath returns the path of the file in which an instance logs the quota that it spends.
func (r *run) quotaLogPath(instanceIndex int) string {
	return filepath.Join(r.workDir, fmt.Sprintf("spent-%d", instanceIndex))
}

// readQuotaLogs adds the quota that all instances have spent to the meter. The logged times are comparable because
// all processes use the same host's boot clock.
func (r *run) readQuotaLogs() error {
	if !r.hasTenantLimits() {
		return nil
	}
	runStart := clock.BootTime() - r.now()
	for instanceIndex := range r.instances {
		file, err := os.Open(r.quotaLogPath(instanceIndex))
		if err != nil {
			return err
		}
		for scanner := bufio.NewScanner(file); scanner.Scan(); {
			timestamp, budget, ok := strings.Cut(scanner.Text(), " ")
			spentAt, err := strconv.ParseInt(timestamp, 10, 64)
			if !ok || err != nil {
				continue // the process was killed while it wrote the line
			}
			r.meter.QuotaSpent(spentAt-runStart, budget)
		}
		file.Close()
	}
	return nil
}

// scaleTenantLimits makes instances reload their configuration with the tenants' rate limits multiplied by factor.
func (r *run) scaleTenantLimits(instances []int, factor float64) {
	for _, instanceIndex := range instances {
		inst := r.instances[instanceIndex]
		if err := r.writeScaledTenantLimits(inst, factor); err != nil {
			r.fail(err)
			return
		}
		inst.signalProcess(syscall.SIGHUP)
	}
}

func (r *run) writeScaledTenantLimits(inst *instance, factor float64) error {
	configText, err := r.daemonConfig(inst)
	if err != nil {
		return err
	}
	var doc map[string]any
	if err := toml.Unmarshal(configText, &doc); err != nil {
		return err
	}
	tables, _ := doc["tenant"].([]any)
	for _, entry := range tables {
		table, _ := entry.(map[string]any)
		if table["limit"] == nil {
			continue
		}
		for _, tenant := range r.config.Tenants {
			if tenant.Name == table["name"] {
				table["limit"] = max(1, factor*tenant.RateLimit)
			}
		}
	}
	if configText, err = toml.Marshal(doc); err != nil {
		return err
	}
	return os.WriteFile(inst.configPath, configText, 0o600)
}
