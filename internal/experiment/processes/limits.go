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

// limits says whether tenants have limits that daemons hold.
func (r *run) hasTenantLimits() bool {
	return !isSidecar(r.options.Daemon) && slices.ContainsFunc(r.config.Tenants, func(t config.Tenant) bool { return t.RateLimit > 0 })
}

func (r *run) spentPath(n int) string { return filepath.Join(r.workDir, fmt.Sprintf("spent-%d", n)) }

// spent takes in what all processes spent, by the host's clock that they all read.
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

// relimit has instances read their files again, with so many times the tenants' limits.
func (r *run) scaleTenantLimits(instances []int, times float64) {
	for _, n := range instances {
		in := r.instances[n]
		text, err := r.daemonConfig(in)
		if err == nil {
			var doc map[string]any
			if err = toml.Unmarshal(text, &doc); err == nil {
				tenants, _ := doc["tenant"].([]any)
				for _, t := range tenants {
					if table, _ := t.(map[string]any); table["limit"] != nil {
						for _, tenant := range r.config.Tenants {
							if tenant.Name == table["name"] {
								table["limit"] = max(1, times*tenant.RateLimit)
							}
						}
					}
				}
				if text, err = toml.Marshal(doc); err == nil {
					err = os.WriteFile(in.configPath, text, 0o600)
				}
			}
		}
		if err != nil {
			r.fail(err)
			return
		}
		in.signal(syscall.SIGHUP)
	}
}
