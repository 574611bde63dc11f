package daemon

import (
	"testing"

	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/scriptedpeer"
)

// startWithOpenRequest starts a daemon with a request of an unsafe class that an endpoint holds until the test ends. It
// returns the daemon, its fleet, the request's connection and its text.
func startWithOpenRequest(t *testing.T) (d *runningDaemon, fleet *testFleet, conn *clientConn, text string) {
	t.Helper()
	fleet = newTestFleet(t, 1, endpoint.Options{})
	d = startDaemon(t, fleet.config(t))
	held := make(chan struct{}, 8)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	fleet.holdRequests("/pay/1", held, release)
	conn = dial(t, "tcp", d.addrs["desk"])
	text = requestText("pay", 5000, "x")
	conn.send(t, text)
	scriptedpeer.Receive(t, held, "the open request")
	return d, fleet, conn, text
}

// checkDuplicateRejected sends a request once more on a new connection, and checks that it is rejected as a duplicate.
func (r *runningDaemon) checkDuplicateRejected(t *testing.T, addr, text string) {
	t.Helper()
	if resp, body := dial(t, "tcp", addr).roundTrip(t, text); resp.StatusCode != 409 {
		t.Errorf("the ID that came again: %s, %q", resp.Status, body)
	}
}

// Guards against an ID that runs twice because it comes again at the next generation while it is open in the one
// before.
func TestOpenIDAfterChangeOfGeneration(t *testing.T) {
	d, fleet, conn, text := startWithOpenRequest(t)
	defer conn.Close()
	next := d.applyConfig(t, fleet.config(t, "worth = 5.0", "worth = 4.0", "127.0.0.1:0", d.addrs["desk"]))
	if next == d.generation {
		t.Fatal("the change was applied without a new generation")
	}
	d.checkDuplicateRejected(t, next.addresses()["desk"], text)
}

// Guards against an ID that runs twice because it comes again after its client has left.
func TestIDOfClientThatLeft(t *testing.T) {
	d, _, conn, text := startWithOpenRequest(t)
	conn.Close()
	d.waitIdle(t)
	d.checkDuplicateRejected(t, d.addrs["desk"], text)
}
