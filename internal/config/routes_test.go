package config

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/stricttoml"
)

// minimalRoutes is a file with one route that has only the required keys.
const minimalRoutes = `
[[listener]]
address = "127.0.0.1:0"
[[pool]]
name = "app"
endpoints = ["127.0.0.1:9001", "127.0.0.1:9002"]
[[route]]
pool = "app"
`

// A file with only the required keys of a route is valid, and all other keys have their defaults.
func TestLeastRoutes(t *testing.T) {
	c, err := Parse([]byte(minimalRoutes))
	require.NoError(t, err)
	route := c.Routes[0]
	if c.Table == nil || len(c.Classes) != 2 || c.OtherClients == nil || c.Listeners[0].Name != "127.0.0.1:0" ||
		route.MaxBufferedBody.Bytes != 64<<10 ||
		route.IdleTimeout.Duration != 30*time.Second || route.Forwarded != "as-is" ||
		!reflect.DeepEqual(route.ErrorStatuses, []int{500, 502, 504}) {
		t.Errorf("%+v", c)
	}
	if got := c.Table.Match("any", "/a/b", "PURGE", nil); got != 0 {
		t.Errorf("route %d matches", got)
	}
}

// The file deploy/routes.toml is valid and mentions every key of the tables for routes and pools.
func TestShippedRoutes(t *testing.T) {
	text, err := os.ReadFile("../../deploy/routes.toml")
	require.NoError(t, err)
	if _, err := Parse(text); err != nil {
		t.Fatal(err)
	}
	for _, table := range []any{Pool{}, Route{}, Paths{}, HeaderEdits{}} {
		tableType := reflect.TypeOf(table)
		for i := range tableType.NumField() {
			key := tableType.Field(i).Tag.Get("toml")
			if !strings.Contains(string(text), key+" = ") {
				t.Errorf("%s.%s is not in it", tableType.Name(), key)
			}
		}
	}
}

// poolKey is the line of minimalRoutes that sets the pool of the route.
const poolKey = "pool = \"app\"\n"

// invalidRouteFiles are changes of minimalRoutes that make it invalid.
var invalidRouteFiles = []invalidFile{
	{poolKey, "pool = \"ap\"\n", `line 8: route.0.pool: no pool is named "ap"`},
	{poolKey, "pol = \"app\"\n", "line 8: route.pol: is not a known key"},
	{poolKey, poolKey + "path = \"a\"\n", "line 9: route.0.path: must begin with /"},
	{poolKey, poolKey + "path = \"/a/../b\"\n", "line 9: route.0.path: requests never have it"},
	{poolKey, poolKey + "host = \"H\"\n", "line 9: route.0.host: "},
	{poolKey, poolKey + "methods = [\"GET\", \"GET\"]\n", "line 9: route.0.methods: \"GET\" is named twice"},
	{
		poolKey,
		poolKey + "[[route]]\n" + poolKey,
		"line 9: route.1: can take the same request as the route on line 7",
	},
	{poolKey, poolKey + "class = \"look\"\n", `line 9: route.0.class: no class is named "look"`},
	{
		poolKey,
		poolKey + "tenant = \"path:clinic\"\n",
		"line 9: route.0.tenant: the path has no part {clinic}",
	},
	{poolKey, poolKey + "tenant = \"X-Customer\"\n", "line 9: route.0.tenant: \"X-Customer\" is none of"},
	{poolKey, poolKey + "key = \"path:x\"\n", "line 9: route.0.key: \"path:x\" is no header"},
	{poolKey, poolKey + "key = \"header:Host\"\n", "line 9: route.0.key: Host tells how a message is framed"},
	{
		poolKey,
		poolKey + "key = \"header:K\"\nrequest = { remove = [\"k\"] }\n",
		"line 10: route.0.request: K, which key names",
	},
	{poolKey, poolKey + "tries = -1\n", "line 9: route.0.tries: -1 is negative"},
	{poolKey, poolKey + "body_hold = \"2MiB\"\n", "line 9: route.0.body_hold: over 1MiB"},
	{poolKey, poolKey + "answer_most = \"1KiB\"\n", "line 9: route.0.answer_most: is under answer_hold"},
	{poolKey, poolKey + "idle = \"1h\"\n", "line 9: route.0.idle: 1h0m0s is over whole"},
	{poolKey, poolKey + "errors = [200]\n", "line 9: route.0.errors: 200 is no status"},
	{poolKey, poolKey + "path = \"/a/*\"\nstrip_prefix = \"/b\"\n", "line 10: route.0.strip_prefix: "},
	{poolKey, poolKey + "path = \"/ab/*\"\nstrip_prefix = \"/a\"\n", "line 10: route.0.strip_prefix: "},
	{poolKey, poolKey + "add_prefix = \"/a/\"\n", "line 9: route.0.add_prefix: "},
	{poolKey, poolKey + "forwarded = \"yes\"\n", "line 9: route.0.forwarded: \"yes\" is none of"},
	{poolKey, poolKey + "trusted = true\n", "line 9: route.0.trusted: means nothing"},
	{
		poolKey,
		poolKey + "request = { set = { \"Connection\" = \"x\" } }\n",
		"line 9: route.0.request.set: Connection is not to be changed",
	},
	{poolKey, poolKey + "answer = { add = { \"X\" = \"a\\nb\" } }\n", "line 9: route.0.answer.add: "},
	{"127.0.0.1:9002", "127.0.0.1:9001", "line 6: pool.0.endpoints: \"127.0.0.1:9001\" is named twice"},
	{"127.0.0.1:9002", "127.0.0.1:0", "line 6: pool.0.endpoints: \"127.0.0.1:0\" is no host:port"},
	{"[[route]]", "file = \"x\"\n[[route]]", "line 6: pool.0.endpoints: exactly one of"},
	{"[[route]]", "retry_budget = 11.0\n[[route]]", "line 7: pool.0.retry_budget: 11: must be in 0..10"},
	{
		"[[listener]]",
		"[discovery]\naddress = \"127.0.0.1:1\"\n[[listener]]",
		"line 3: discovery.address: with [[route]]",
	},
	{
		"[[listener]]",
		"[paths]\nencoded_slash = \"yes\"\n[[listener]]",
		"line 3: paths.encoded_slash: \"yes\" is none of",
	},
}

// Each mistake in pools and routes is reported with its key, line and reason.
func TestMistakesInRoutes(t *testing.T) {
	for _, tc := range invalidRouteFiles {
		_, err := Parse([]byte(strings.Replace(minimalRoutes, tc.old, tc.new, 1)))
		var mistakes stricttoml.Errors
		if !errors.As(err, &mistakes) || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q in place of %q:\n got %v\nwant %s", tc.new, tc.old, err, tc.want)
		}
	}
	withPool := strings.Replace(minimalFile, "[[class]]", "[[pool]]\nname = \"a\"\nendpoints = []\n[[class]]", 1)
	if _, err := Parse([]byte(withPool)); err == nil ||
		!strings.Contains(err.Error(), "no route leads to a pool") {
		t.Errorf("a pool without routes: %v", err)
	}
}
