package processes

import (
	"fmt"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
)

// alternateUnknownTables are the tables of a daemon's file that an alternate program may not know.
var alternateUnknownTables = []string{"overload", "peers", "operators", "work"}

// daemonConfig returns an instance's configuration file: the settings, with the tables that differ between instances
// or belong to this run.
func (r *run) daemonConfig(in *instance) ([]byte, error) {
	var doc map[string]any
	if err := toml.Unmarshal(r.options.Settings, &doc); err != nil {
		return nil, err
	}
	if _, other := r.programOf(in); other {
		for _, table := range alternateUnknownTables {
			delete(doc, table)
		}
	}
	doc["name"] = fmt.Sprint("instance-", in.index)
	doc["discovery"] = map[string]any{"address": in.discovery.Addr, "mode": r.config.Discovery.Mode}
	delete(doc, "takeover")
	if r.hasUpgrades() {
		doc["takeover"] = map[string]any{
			"socket":       filepath.Join(r.workDir, fmt.Sprint("takeover-", in.index)),
			"drain_within": r.config.Takeover.DrainWithin.String(),
		}
	}
	delete(doc, "record")
	delete(doc, "others")
	fleet, _ := doc["fleet"].(map[string]any)
	if fleet == nil {
		fleet = map[string]any{}
	}
	fleet["instances"] = len(r.plan.Instances) + r.misreporterCount()
	fleet["position"] = in.index
	fleet["zone"] = r.plan.Fleet.Zones[r.plan.Instances[in.index].Zone]
	doc["fleet"] = fleet
	if table, ok := doc["peers"].(map[string]any); ok && len(r.peerAddrs) > 0 {
		doc["peers"] = r.fillPeersTable(in, table)
	}
	if err := r.addMaintenanceTables(in, doc); err != nil {
		return nil, err
	}
	if r.hasTenantLimits() {
		table, _ := doc["peers"].(map[string]any)
		if table == nil {
			table = map[string]any{}
			doc["peers"] = table
		}
		table["spent"] = r.spentPath(in.index)
	}
	r.addClientTables(in, doc)
	return toml.Marshal(doc)
}

// addClientTables adds a listener and a client for each client process, with the limits of the settings' first client.
func (r *run) addClientTables(in *instance, doc map[string]any) {
	bounds := map[string]any{}
	if len(r.config.Clients) > 0 {
		b := &r.config.Clients[0].ClientLimits
		bounds = map[string]any{"weight": b.Weight, "open_requests": b.MaxOpen, "requests_per_second": b.Rate}
		if b.Rate > 0 {
			bounds["burst"] = b.Burst
		}
	}
	var listeners, clients []any
	for i, addr := range in.listenAddrs {
		name := fmt.Sprint("process-", i)
		listeners = append(listeners, map[string]any{"name": name, "address": addr, "client": name})
		client := map[string]any{"name": name}
		for k, v := range bounds {
			client[k] = v
		}
		clients = append(clients, client)
	}
	doc["listener"] = listeners
	doc["client"] = clients
}
