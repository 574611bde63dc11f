package sidecar

import (
	"fmt"
	"testing"

	"dunlinsail/internal/fake/attemptscript"
)

// slowMachine are edits of siteSettings with times that a slow machine does not exceed.
var slowMachine = []string{`"give-up":1000000`, `"give-up":20000000`, `"target":500000`, `"target":2000000`,
	`"window":400000`, `"window":20000000`}

// Guards against a client being answered 503, which an endpoint said of one attempt, after another attempt of its
// request may have run.
func TestFinalResponseOfOrders(t *testing.T) {
	for _, test := range []struct {
		method, class string
		orders        []attemptscript.Order
	}{
		{"POST", "pay", attemptscript.NonIdempotent},
		{"POST", "book", attemptscript.IdempotentByKey},
		{"GET", "look", attemptscript.Idempotent},
	} {
		for _, order := range test.orders {
			t.Run(fmt.Sprint(test.class, ": ", order), func(t *testing.T) {
				t.Parallel()
				s := start(t, configureStatic(t, instances(order.Start(t)...), slowMachine...))
				response, _ := s.request(t, request(test.method, "/"+test.class, test.class, order.TimeoutMs(), ""))
				order.Check(t, response, order.ByClass)
			})
		}
	}
}
