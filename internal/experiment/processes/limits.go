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

// hasTenantLimits reports whether tenants have rate limits that the daemons enforce.
func (r *run) hasTenantLimits() bool {
	limited := func(t config.Tenant) bool { return t.RateLimit > 0 }
	return !isSidecar(r.options.Daemon) && slices.ContainsFunc(r.config.Tenants, limited)
}

// spentPath is the file in which an instance logs the quota that it spends.
func (r *run) spentPath(n int) string { return filepath.Join(r.workDir, fmt.Sprintf("spent-%d", n)) }

// readSpent adds the quota that all processes spent to the meter, by the host's clock that they share.
func (r *run) readSpent() error {
	if !r.hasTenantLimits() {
		return nil
	}
	zero := clock.BootTime() - r.now()
	for n := range r.instances {
		f, err := os.Open(r.spentPath(n))
		if err != nil {
			return err
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			at, budget, ok := strings.Cut(lines.Text(), " ")
			v, err := strconv.ParseInt(at, 10, 64)
			if !ok || err != nil {
				continue // cut off by a kill
			}
			r.meter.QuotaSpent(v-zero, budget)
		}
		f.Close()
	}
	return nil
}

// scaleTenantLimits has instances reload their configuration with the tenants' limits multiplied by factor.
func (r *run) scaleTenantLimits(instances []int, factor float64) {
	for _, n := range instances {
		in := r.instances[n]
		if err := r.writeScaledLimits(in, factor); err != nil {
			r.fail(err)
			return
		}
		in.signal(syscall.SIGHUP)
	}
}

func (r *run) writeScaledLimits(in *instance, factor float64) error {
	text, err := r.daemonConfig(in)
	if err != nil {
		return err
	}
	var doc map[string]any
	if err := toml.Unmarshal(text, &doc); err != nil {
		return err
	}
	tables, _ := doc["tenant"].([]any)
	for _, t := range tables {
		table, _ := t.(map[string]any)
		if table["limit"] == nil {
			continue
		}
		for _, tenant := range r.config.Tenants {
			if tenant.Name == table["name"] {
				table["limit"] = max(1, factor*tenant.RateLimit)
			}
		}
	}
	if text, err = toml.Marshal(doc); err != nil {
		return err
	}
	return os.WriteFile(in.configPath, text, 0o600)
}
