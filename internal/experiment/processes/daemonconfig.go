package processes

import (
	"fmt"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
)

// alternateUnknownTables are the tables of the daemon's configuration file that the alternate program may not
// support.
var alternateUnknownTables = []string{"overload", "peers", "operators", "work"}

// daemonConfig returns an instance's configuration file: the settings of the run plus the tables that depend on the
// instance or on this run, such as addresses and paths.
func (r *run) daemonConfig(inst *instance) ([]byte, error) {
	var doc map[string]any
	if err := toml.Unmarshal(r.options.Settings, &doc); err != nil {
		return nil, err
	}
	if _, alternate := r.programOf(inst); alternate {
		for _, table := range alternateUnknownTables {
			delete(doc, table)
		}
	}
	doc["name"] = fmt.Sprint("instance-", inst.index)
	doc["discovery"] = map[string]any{"address": inst.discoveryServer.Addr, "mode": r.config.Discovery.Mode}
	delete(doc, "takeover")
	if r.hasHotRestarts() {
		doc["takeover"] = map[string]any{
			"socket":       filepath.Join(r.workDir, fmt.Sprint("takeover-", inst.index)),
			"drain_within": r.config.Takeover.DrainTimeout.String(),
		}
	}
	delete(doc, "record")
	delete(doc, "others")
	fleet, _ := doc["fleet"].(map[string]any)
	if fleet == nil {
		fleet = map[string]any{}
	}
	fleet["instances"] = len(r.plan.Instances) + r.misreporterCount()
	fleet["position"] = inst.index
	fleet["zone"] = r.plan.Fleet.Zones[r.plan.Instances[inst.index].Zone]
	doc["fleet"] = fleet
	if table, ok := doc["peers"].(map[string]any); ok && len(r.peerAddrs) > 0 {
		doc["peers"] = r.fillPeersTable(inst, table)
	}
	if err := r.addMaintenanceTables(inst, doc); err != nil {
		return nil, err
	}
	if r.hasTenantLimits() {
		table, _ := doc["peers"].(map[string]any)
		if table == nil {
			table = map[string]any{}
			doc["peers"] = table
		}
		table["spent"] = r.quotaLogPath(inst.index)
	}
	r.addClientTables(inst, doc)
	return toml.Marshal(doc)
}

// addClientTables adds one listener and one client table for each client process. The client limits are those of
// the first client in the settings.
func (r *run) addClientTables(inst *instance, doc map[string]any) {
	limits := map[string]any{}
	if len(r.config.Clients) > 0 {
		clientLimits := &r.config.Clients[0].ClientLimits
		limits = map[string]any{
			"weight":              clientLimits.Weight,
			"open_requests":       clientLimits.MaxOpen,
			"requests_per_second": clientLimits.Rate,
		}
		if clientLimits.Rate > 0 {
			limits["burst"] = clientLimits.Burst
		}
	}
	var listeners, clients []any
	for processIndex, addr := range inst.listenAddrs {
		name := fmt.Sprint("process-", processIndex)
		listeners = append(listeners, map[string]any{"name": name, "address": addr, "client": name})
		client := map[string]any{"name": name}
		for key, limit := range limits {
			client[key] = limit
		}
		clients = append(clients, client)
	}
	doc["listener"] = listeners
	doc["client"] = clients
}
