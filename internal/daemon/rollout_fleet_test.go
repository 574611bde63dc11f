package daemon

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/fake/xdsserver"
)

// fleetResult counts the requests that were sent to the twenty instances of runFleet, by their outcome.
type fleetResult struct {
	served, scheduled, failed int
	longestGap                time.Duration // longest time between two responses to one client
}

// runFleet starts twenty instances with one client each, calls changes with the control plane and the names of
// the nodes, and returns the outcome of all requests sent until changes returned.
func runFleet(t *testing.T, changes func(s *xdsserver.Server, nodes []string)) fleetResult {
	t.Helper()
	fleet := newTestFleet(t, 6, endpoint.Options{
		ServiceTime: map[string]time.Duration{"": 2 * time.Millisecond},
		Spread:      0.5,
	})
	s := fleet.startControlPlane(t)
	var nodes []string
	var daemons []*runningDaemon
	var stopClients []func() client.Report
	for i := range 20 {
		node := fmt.Sprintf("i-%02d", i)
		nodes = append(nodes, node)
		addr := freeAddr(t)
		edits := append(fleet.controlPlaneEdits(addr, node, `trial = "1s"`, `trial = "3s"`),
			"takeover.sock", node+"-takeover.sock", "clients.sock", node+"-clients.sock",
			"[fleet]", fmt.Sprintf("[fleet]\ninstances = 20\nposition = %d", i))
		daemons = append(daemons, startDaemon(t, fleet.config(t, edits...)))
		stopClients = append(stopClients, startSteadyClient(t, node, addr, 12))
	}
	scriptedpeer.Eventually(t, "twenty open streams", func() bool { return s.OpenStreams() == 20 })
	changes(s, nodes)
	var result fleetResult
	for _, stopClient := range stopClients {
		r := stopClient()
		result.scheduled += r.Scheduled
		result.served += r.ByVerdict[client.Served]
		result.failed += r.ByVerdict[client.Failed]
		result.longestGap = max(result.longestGap, r.LongestGap)
	}
	checkRuns(t, fleet.ledger.Runs())
	for _, d := range daemons {
		d.stop()
	}
	return result
}

// invalidVersions are versions that every instance rejects. answer is the start of the rejection.
var invalidVersions = []struct {
	resources []config.Resource
	answer    string
}{
	{maxAttemptsResource(-1), "refused: attempts: most: -1: must be at least 1"},
	{
		[]config.Resource{{Kind: "class", Name: "look",
			Fields: map[string]any{"repeat": "safe", "aim": "2s", "give_up": "1s"}}},
		"refused: class/look: give_up: 1s is under aim, 2s",
	},
	{
		append(maxAttemptsResource(3),
			config.Resource{Kind: "tenant", Name: "acme", Fields: map[string]any{"alowance": 1.0}}),
		"refused: tenant/acme: alowance: is not a known key",
	},
}

// harmfulVersion is a valid version under which most requests are rejected.
var harmfulVersion = append(maxAttemptsResource(3),
	unnamedResource("requests", map[string]any{"open": 1.0, "in_flight": 1.0}),
	clientResource("each", map[string]any{"per_process": true}),
	clientResource("desk", map[string]any{"requests_per_second": 2.0, "burst": 1.0}))

// sendVersions sends one version of each of the given kinds, in order, and waits for all answers before it sends
// the next. A harmful version goes to the first node only.
func sendVersions(t *testing.T, s *xdsserver.Server, nodes, kinds []string) {
	t.Helper()
	invalid := invalidVersions
	for n, kind := range kinds {
		version := fmt.Sprint("e/", n+1)
		switch kind {
		case "good":
			setVersion(t, s, version, maxAttemptsResource(float64(2+n%3)), nil)
			awaitAnswers(t, s, version, "good", nodes)
		case "broken":
			setVersion(t, s, version, invalid[0].resources, nil)
			awaitAnswers(t, s, version, invalid[0].answer, nodes)
			invalid = invalid[1:]
		case "harmful":
			require.NoError(t, s.SetResourcesForNodes(version, harmfulVersion, nodes[:1]...))
			awaitAnswers(t, s, version, "refused: worse by service", nodes[:1])
			if len(s.Answers(nodes[1], version)) > 0 {
				t.Error("the harmful version was sent to more than one node")
			}
		}
	}
}

// Twenty instances under load get good, invalid and harmful versions in an order drawn from a seed. All instances
// reject the invalid versions, and the one instance that gets the harmful version rolls it back. The share of
// requests that are served must not be lower than without any versions.
func TestTwentyInstances(t *testing.T) {
	versionKinds := []string{"good", "broken", "good", "harmful", "broken", "good", "broken"}
	rand.New(rand.NewPCG(5, 5)).Shuffle(len(versionKinds), func(i, j int) {
		versionKinds[i], versionKinds[j] = versionKinds[j], versionKinds[i]
	})
	t.Log(versionKinds)
	started := time.Now()
	withVersions := runFleet(t, func(s *xdsserver.Server, nodes []string) { sendVersions(t, s, nodes, versionKinds) })
	duration := time.Since(started)
	withoutVersions := runFleet(t, func(*xdsserver.Server, []string) { time.Sleep(duration) })
	t.Logf("%v: with versions %d of %d served, longest gap %v; without %d of %d, %v", duration,
		withVersions.served, withVersions.scheduled, withVersions.longestGap,
		withoutVersions.served, withoutVersions.scheduled, withoutVersions.longestGap)
	servedWith := float64(withVersions.served) / float64(withVersions.scheduled)
	servedWithout := float64(withoutVersions.served) / float64(withoutVersions.scheduled)
	if servedWith < servedWithout-0.01 || withVersions.failed > withoutVersions.failed+2 {
		t.Errorf("served %.4f with versions, %.4f without; %d failed, %d without",
			servedWith, servedWithout, withVersions.failed, withoutVersions.failed)
	}
}
