package daemon

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"dunlinsail/internal/config"
	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/attemptscript"
	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scripteddiscovery"
)

// orderTests are the orders of attempt ends by request class, with the class names of fleetConfig.
var orderTests = []struct {
	class  string
	orders []attemptscript.Order
}{
	{"pay", attemptscript.NonIdempotent},
	{"book", attemptscript.IdempotentByKey},
	{"look", attemptscript.Idempotent},
}

// orderRoutes has a route for each class of fleetConfig.
const orderRoutes = `
[[route]]
path = "/look/*"
pool = "app"
class = "look"
deadline = "header:X-Expires-In-Ms"
[[route]]
path = "/book/*"
pool = "app"
class = "book"
key = "header:Idempotency-Key"
deadline = "header:X-Expires-In-Ms"
[[route]]
path = "/pay/*"
pool = "app"
class = "pay"
deadline = "header:X-Expires-In-Ms"
`

// orderEdits are edits of fleetConfig: no probes, and times that a slow machine does not exceed.
var orderEdits = []string{"on = true", "on = false", `"500ms"`, `"2s"`, `"1s"`, `"20s"`, `"400ms"`, `"20s"`}

// Guards against a client being answered 503 with X-Never-Ran, which an endpoint said of one attempt, after another
// attempt of its request may have run.
func TestFinalResponseOnRoutes(t *testing.T) {
	base, _, _ := strings.Cut(onePoolConfig, "endpoints = ")
	for _, test := range orderTests {
		for _, order := range test.orders {
			t.Run(fmt.Sprint(test.class, ": ", order), func(t *testing.T) {
				t.Parallel()
				addrs := order.Start(t)
				list := fileList(t, addrs, slices.Repeat([]string{`,"cell":1`}, len(addrs)))
				_, addr := startRoutedDaemon(t, base+list+orderRoutes+fleetConfig, orderEdits...)
				response, _ := dial(t, "tcp", addr).roundTrip(t, requestText(test.class, order.TimeoutMs(), ""))
				order.Check(t, response, order.Routed)
				if local := response.StatusCode == 502 || response.StatusCode == 504; local &&
					!strings.HasPrefix(response.Header.Get("Proxy-Status"), "dunlinsaild; error=http_response_") {
					t.Errorf("%s with Proxy-Status %q", response.Status, response.Header.Get("Proxy-Status"))
				}
			})
		}
	}
}

// Guards against the same as TestFinalResponseOnRoutes in a daemon without routes.
func TestFinalResponseByClass(t *testing.T) {
	for _, test := range orderTests {
		for _, order := range test.orders {
			t.Run(fmt.Sprint(test.class, ": ", order), func(t *testing.T) {
				t.Parallel()
				var list []discovery.Instance
				for i, addr := range order.Start(t) {
					list = append(list, scripteddiscovery.Up(fmt.Sprint("s-", i), addr))
				}
				server, err := discoveryserver.Start(list...)
				require.NoError(t, err)
				t.Cleanup(server.Close)
				f := &testFleet{discovery: server, dir: t.TempDir()}
				c, err := config.Parse([]byte(f.configText(orderEdits...)))
				require.NoError(t, err)
				d := startDaemon(t, c)
				conn := dial(t, "tcp", d.addrs["desk"])
				response, _ := conn.roundTrip(t, requestText(test.class, order.TimeoutMs(), ""))
				order.Check(t, response, order.ByClass)
			})
		}
	}
}
