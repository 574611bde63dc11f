package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
)

// keyCases has an accepted and a rejected value for each key of each kind, in JSON. requiredKeys and requiredFields
// have the other keys that a case needs.
var keyCases = map[string]struct{ good, bad string }{
	"attempts.cancel":            {`false`, `1`},
	"attempts.dial_timeout":      {`"100ms"`, `"0s"`},
	"attempts.most":              {`2`, `0`},
	"attempts.retry_budget":      {`0.5`, `11`},
	"attempts.second_copies":     {`false`, `"no"`},
	"class.aim":                  {`"100ms"`, `"0s"`},
	"class.give_up":              {`"2s"`, `"1ms"`},
	"class.group":                {`"cell"`, `"room"`},
	"class.late_worth":           {`0.5`, `2`},
	"class.name":                 {`"book"`, `"a/b"`},
	"class.repeat":               {`"unsafe"`, `"often"`},
	"class.window":               {`"400ms"`, `"0s"`},
	"class.worth":                {`2`, `-1`},
	"client.burst":               {`5`, `0.5`},
	"client.bytes_held":          {`"1MiB"`, `"1KiB"`},
	"client.connections":         {`5`, `-1`},
	"client.gids":                {`[7]`, `[-1]`},
	"client.name":                {`"more"`, `""`},
	"client.open_requests":       {`5`, `-1`},
	"client.per_process":         {`true`, `"yes"`},
	"client.requests_per_second": {`50`, `-1`},
	"client.uids":                {`[7]`, `[4294967296]`},
	"client.weight":              {`2.5`, `-1`},
	"connections.at_rest":        {`100`, `100000`},
	"connections.clients":        {`300`, `100000`},
	"connections.endpoints":      {`300`, `-1`},
	"connections.rest_least":     {`"1s"`, `"1h"`},
	"connections.rest_most":      {`"20s"`, `"0s"`},
	"discovery.address":          {`"127.0.0.1:8501"`, `"127.0.0.1:0"`},
	"discovery.mode":             {`"ask"`, `"hope"`},
	"fleet.instances":            {`4`, `0`},
	"fleet.keep_alive":           {`"5s"`, `"0s"`},
	"fleet.machines":             {`["m1"]`, `"m1"`},
	"fleet.over_share_worth":     {`0.5`, `2`},
	"fleet.position":             {`0`, `9`},
	"fleet.node_idle":            {`60`, `-1`},
	"fleet.node_probes":          {`20`, `-1`},
	"overload.on":                {`true`, `1`},
	"overload.further":           {`0.3`, `-1`},
	"overload.further_sick":      {`0.05`, `0.5`},
	"overload.probes":            {`1.5`, `11`},
	"overload.node_probes":       {`20`, `-1`},
	"overload.node_least":        {`0.5`, `0`},
	"fleet.subset":               {`8`, `-1`},
	"fleet.worth_by":             {`"work"`, `"weight"`},
	"fleet.zone":                 {`""`, `"nowhere"`},
	"fleet.zones":                {`[]`, `"a"`},
	"goal.whole":                 {`2`, `-1`},
	"goal.worst_class":           {`2`, `-1`},
	"goal.worst_tenant":          {`2`, `-1`},
	"goal.worst_window":          {`2`, `-1`},
	"listener.address":           {`"127.0.0.1:8081"`, `"0.0.0.0:80"`},
	"listener.client":            {`"desk"`, `"nobody"`},
	"listener.mode":              {`"0660"`, `"0888"`},
	"listener.name":              {`"more"`, `""`},
	"others.burst":               {`5`, `0.5`},
	"others.bytes_held":          {`"1MiB"`, `"1KiB"`},
	"others.connections":         {`5`, `-1`},
	"others.open_requests":       {`5`, `-1`},
	"others.requests_per_second": {`50`, `-1`},
	"others.weight":              {`2.5`, `-1`},
	"paths.encoded_slash":        {`"keep"`, `"lose"`},
	"pool.discovery":             {`"127.0.0.1:8500"`, `"here"`},
	"pool.endpoints":             {`["127.0.0.1:1"]`, `["127.0.0.1:0"]`},
	"pool.file":                  {`"/etc/pool.json"`, `7`},
	"pool.name":                  {`"app"`, `""`},
	"pool.retry_budget":          {`0.5`, `-1`},
	"pool.retry_least":           {`2`, `0.5`},
	"prices.cross_zone":          {`1`, `-1`},
	"prices.late_fail":           {`1`, `-1`},
	"prices.probe":               {`1`, `-1`},
	"prices.waste":               {`1`, `-1`},
	"probes.fields":              {`["queue"]`, `["mood"]`},
	"probes.on":                  {`true`, `"on"`},
	"probes.report":              {`"probe"`, `"always"`},
	"refusals.retry_after":       {`false`, `0`},
	"refusals.retry_after_most":  {`"2s"`, `"soon"`},
	"requests.in_flight":         {`10`, `-1`},
	"requests.in_flight_least":   {`5`, `0`},
	"requests.in_flight_most":    {`50`, `1`},
	"requests.open":              {`50`, `0`},
	"route.add_prefix":           {`"/v1"`, `"v1/"`},
	"route.answer":               {`{"set":{"X-A":"1"}}`, `{"set":{"Connection":"close"}}`},
	"route.answer_hold":          {`"32KiB"`, `"2MiB"`},
	"route.answer_most":          {`"1MiB"`, `"1KiB"`},
	"route.body_hold":            {`"32KiB"`, `"2MiB"`},
	"route.body_most":            {`"1MiB"`, `"-1B"`},
	"route.class":                {`"look"`, `"nothing"`},
	"route.deadline":             {`"header:X-D"`, `"path:d"`},
	"route.errors":               {`[500]`, `[200]`},
	"route.forwarded":            {`"rfc7239"`, `"maybe"`},
	"route.full":                 {`[503]`, `[600]`},
	"route.headers":              {`{"X-A":"1"}`, `{"X A":"1"}`},
	"route.host":                 {`"*.example.org"`, `"a*b"`},
	"route.id":                   {`"header:X-Id"`, `"=1"`},
	"route.idle":                 {`"5s"`, `"24h"`},
	"route.key":                  {`"header:X-Key"`, `"client"`},
	"route.methods":              {`["GET"]`, `["G T"]`},
	"route.name":                 {`"all"`, `""`},
	"route.object":               {`"header:X-O"`, `"path:o"`},
	"route.path":                 {`"/a/*"`, `"a"`},
	"route.pool":                 {`"app"`, `"gone"`},
	"route.request":              {`{"remove":["X-A"]}`, `{"remove":["Host"]}`},
	"route.strip_prefix":         {`"/a"`, `"/b"`},
	"route.tenant":               {`"client"`, `"somebody"`},
	"route.to_host":              {`"app.local"`, `"a b"`},
	"route.tries":                {`2`, `-1`},
	"route.trusted":              {`true`, `"all"`},
	"route.whole":                {`"1h"`, `"1s"`},
	"rules.ask_within":           {`"5s"`, `"0s"`},
	"rules.cold_from":            {`0.5`, `0`},
	"rules.drain_grace":          {`"100ms"`, `"-1s"`},
	"rules.fall_after":           {`"1s"`, `1`},
	"rules.fall_multiple":        {`3`, `0`},
	"rules.warm_after":           {`"10s"`, `"never"`},
	"tenant.allowance":           {`10`, `-1`},
	"tenant.limit":               {`50`, `0.5`},
	"tenant.name":                {`"acme"`, `""`},
	"tenant.share":               {`0.5`, `2`},
}

// requiredKeys are further keys that the resource needs for a case of keyCases to be valid, as members of a JSON
// object.
var requiredKeys = map[string]string{
	"discovery.mode":          `"address":"127.0.0.1:8500"`,
	"class.group":             `"repeat":"keyed","window":"400ms"`,
	"class.window":            `"repeat":"keyed","group":"cell"`,
	"client.burst":            `"requests_per_second":50`,
	"others.burst":            `"requests_per_second":50`,
	"connections.endpoints":   `"clients":300`,
	"connections.at_rest":     `"clients":300`,
	"listener.mode":           `"address":"unix:/run/a.sock"`,
	"pool.discovery":          `"endpoints":null`,
	"pool.file":               `"endpoints":null`,
	"probes.fields":           `"on":true,"report":"probe"`,
	"probes.report":           `"on":true,"fields":["queue"]`,
	"requests.in_flight_most": `"in_flight_least":2`,
	"route.strip_prefix":      `"path":"/a/*"`,
	"route.trusted":           `"forwarded":"rfc7239"`,
	"route.whole":             `"idle":"5s"`,
}

// requiredFields are the fields of a minimal valid resource of each kind that has required keys, in JSON.
var requiredFields = map[string]string{
	"class":    `{"repeat":"safe","aim":"100ms","give_up":"1s"}`,
	"listener": `{"address":"127.0.0.1:8081","client":"desk"}`,
	"pool":     `{"endpoints":["127.0.0.1:9001"]}`,
	"route":    `{"pool":"app","class":"look"}`,
}

// decodeObject decodes a JSON object and fails the test if it is invalid.
func decodeObject(t *testing.T, text string) map[string]any {
	t.Helper()
	var decoded map[string]any
	if err := json.Unmarshal([]byte(text), &decoded); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return decoded
}

// mustParse parses a file and fails the test if it is invalid.
func mustParse(t *testing.T, text string) *Config {
	t.Helper()
	c, err := Parse([]byte(text))
	require.NoError(t, err)
	return c
}

// routedFile is a file with a route, a class and a client to which resources in tests can refer.
const routedFile = "[control]\npin = []\n" + minimalRoutes + `class = "look"
[[class]]
name = "look"
repeat = "safe"
aim = "250ms"
give_up = "500ms"
[[client]]
name = "desk"
[others]
`

// For each key that a version may contain, one value is accepted and another is rejected with an error that names
// the resource and the key.
func TestEachKey(t *testing.T) {
	withoutRoutes := mustParse(t, "[control]\npin = []\n"+minimalFile)
	withRoutes := mustParse(t, routedFile)
	keys := resourceKeys()
	if keysWithCases := slices.Sorted(maps.Keys(keyCases)); !slices.Equal(keys, keysWithCases) {
		t.Fatalf("keys %v, cases for %v", keys, keysWithCases)
	}
	for _, key := range keys {
		kind, name, _ := strings.Cut(key, ".")
		file := withoutRoutes
		if slices.Contains([]string{"pool", "route", "paths"}, kind) {
			file = withRoutes
		}
		combined, err := Combine(file, resourcesWithKey(t, key, keyCases[key].good))
		if err != nil {
			t.Errorf("%s = %s: %v", key, keyCases[key].good, err)
		} else if combined == file || len(combined.Listeners) == 0 {
			t.Errorf("%s: not combined", key)
		}
		_, err = Combine(file, resourcesWithKey(t, key, keyCases[key].bad))
		if err == nil {
			t.Errorf("%s = %s was accepted", key, keyCases[key].bad)
			continue
		}
		if !strings.HasPrefix(err.Error(), kind) || name != "name" && !strings.Contains(err.Error(), name) {
			t.Errorf("%s = %s: rejected without resource and key: %v", key, keyCases[key].bad, err)
		}
	}
}

// resourceKeys returns the keys of all kinds of resources as "KIND.KEY", sorted.
func resourceKeys() (keys []string) {
	var collect func(kind string, fieldsType reflect.Type)
	collect = func(kind string, fieldsType reflect.Type) {
		for i := range fieldsType.NumField() {
			if field := fieldsType.Field(i); field.Anonymous && field.Tag.Get("toml") == "" {
				collect(kind, field.Type)
			} else {
				keys = append(keys, kind+"."+field.Tag.Get("toml"))
			}
		}
	}
	for name, k := range ResourceKinds() {
		collect(name, k.FieldsType)
	}
	slices.Sort(keys)
	return keys
}

// resourcesWithKey returns a version whose resources set a key to a value in JSON, with all other keys and
// resources that are needed for the version to be valid.
func resourcesWithKey(t *testing.T, key, value string) []Resource {
	t.Helper()
	kind, name, _ := strings.Cut(key, ".")
	resource := Resource{Kind: kind, Fields: map[string]any{}}
	if requiredFields[kind] != "" {
		resource.Fields = decodeObject(t, requiredFields[kind])
	}
	if requiredKeys[key] != "" {
		maps.Copy(resource.Fields, decodeObject(t, "{"+requiredKeys[key]+"}"))
	}
	if ResourceKinds()[kind].IsList {
		neededNames := map[string]string{"class": "look", "client": "desk", "pool": "app", "route": "r"}
		resource.Name = cmp.Or(neededNames[kind], "one")
	}
	decoded := decodeObject(t, `{"v":`+value+`}`)["v"]
	if name == "name" {
		resource.Name = decoded.(string)
	} else {
		resource.Fields[name] = decoded
	}
	maps.DeleteFunc(resource.Fields, func(_ string, v any) bool { return v == nil })
	resources := []Resource{resource}
	if kind == "client" && resource.Name != "desk" { // the listener of the file refers to this client
		resources = append(resources, Resource{Kind: "client", Name: "desk", Fields: map[string]any{}})
	}
	return resources
}

// pinningFile is a file that pins a list, an entry of a list and a key.
const pinningFile = `
[control]
pin = ["listener", "client.desk", "requests.open"]
[discovery]
address = "127.0.0.1:8500"
[requests]
open = 500
in_flight = 9
[[listener]]
name = "desk"
address = "127.0.0.1:0"
client = "desk"
[[client]]
name = "desk"
weight = 3.0
[[client]]
name = "old"
[[class]]
name = "look"
repeat = "safe"
aim = "250ms"
give_up = "500ms"
[[class]]
name = "book"
repeat = "unsafe"
aim = "250ms"
give_up = "500ms"
[[tenant]]
name = "acme"
`

// The resources of a version replace the tables of the file except for pinned parts, and list entries keep the
// order of the file.
func TestCombine(t *testing.T) {
	file := mustParse(t, pinningFile)
	newClass := func(name, extraFields string) Resource {
		return Resource{
			Kind:   "class",
			Name:   name,
			Fields: decodeObject(t, `{"repeat":"safe","aim":"100ms","give_up":"1s"`+extraFields+`}`),
		}
	}
	combined, err := Combine(file, []Resource{
		newClass("zoom", ""),
		newClass("book", ""),
		newClass("look", `,"worth":2`),
		{Kind: "requests", Fields: decodeObject(t, `{"open":7,"in_flight_least":5}`)},
		{Kind: "client", Name: "desk", Fields: decodeObject(t, `{"weight":1}`)},
		{Kind: "client", Name: "new", Fields: decodeObject(t, `{"weight":2.5}`)},
		{Kind: "listener", Name: "evil", Fields: decodeObject(t, `{"address":"unix:/tmp/x"}`)},
	})
	require.NoError(t, err)
	if got := fmt.Sprint(combined.Site.Classes); got != "[look book zoom]" ||
		combined.Site.Settings.Classes[0].PriorityWeight != 2 {
		t.Errorf("classes %s", got)
	}
	if combined.Requests.MaxOpen != 500 || combined.Requests.InFlight != 0 || combined.Requests.MinInFlight != 5 {
		t.Errorf("requests %+v", combined.Requests)
	}
	if len(combined.Clients) != 2 || combined.Clients[0].Weight != 3 || combined.Clients[1].Name != "new" ||
		combined.Clients[1].Weight != 2.5 {
		t.Errorf("clients %+v", combined.Clients)
	}
	if len(combined.Listeners) != 1 || combined.Listeners[0].Name != "desk" || len(combined.Tenants) != 1 {
		t.Errorf("listeners %+v, tenants %+v", combined.Listeners, combined.Tenants)
	}
	if unchanged, err := Combine(file, nil); err != nil || unchanged != file {
		t.Errorf("without resources: %v", err)
	}
	reordered, err := Combine(file, []Resource{newClass("book", `,"worth":1`), newClass("look", "")})
	if err != nil || fmt.Sprint(reordered.Site.Classes) != "[look book]" {
		t.Errorf("%v, %v", reordered, err)
	}
}

// The error for an invalid version names the resource of each mistake, or the key of the file if only the
// combination of both is invalid.
func TestCombineErrorsNameTheResource(t *testing.T) {
	file := mustParse(t, minimalFile)
	deeplyNested := any("x")
	for range 10 {
		deeplyNested = map[string]any{"k": deeplyNested}
	}
	for want, resources := range map[string][]Resource{
		"class/book: aim: is missing": {
			{Kind: "class", Name: "book", Fields: decodeObject(t, `{"repeat":"safe"}`)},
		},
		"class/book: worht: is not a known key": {
			{Kind: "class", Name: "a", Fields: decodeObject(t, requiredFields["class"])},
			{Kind: "class", Name: "book", Fields: decodeObject(t, `{"worht":1}`)},
		},
		"class/b: repeat: \"x\" is none of": {
			{Kind: "class", Name: "a", Fields: decodeObject(t, requiredFields["class"])},
			{Kind: "class", Name: "b", Fields: decodeObject(t, `{"repeat":"x","aim":"1s","give_up":"1s"}`)},
		},
		"the file: listener.0.client: no client is": {
			{Kind: "client", Name: "other", Fields: map[string]any{}},
		},
		"requests: in_flight_most: 3 is under in_fli": {
			{Kind: "requests", Fields: decodeObject(t, `{"in_flight_least":5,"in_flight_most":3}`)},
		},
		"\"clas\" is no kind of resource":       {{Kind: "clas", Name: "a"}},
		"process: only the instance's own file": {{Kind: "process"}},
		"class: has no name":                    {{Kind: "class"}},
		"requests/x: there is one table":        {{Kind: "requests", Name: "x"}},
		"class/a: stands twice": {
			{Kind: "class", Name: "a"},
			{Kind: "class", Name: "a"},
		},
		"requests: nested deeper than 6": {
			{Kind: "requests", Fields: map[string]any{"open": deeplyNested}},
		},
		"requests: <nil> is no text": {
			{Kind: "requests", Fields: map[string]any{"open": nil}},
		},
		"requests: a text of 8193 bytes": {
			{Kind: "requests", Fields: map[string]any{"open": strings.Repeat("x", 8193)}},
		},
		"requests: in_flight: -1 is negative; requests: open: 0: must be at le": {
			{Kind: "requests", Fields: decodeObject(t, `{"in_flight":-1,"open":0}`)},
		},
	} {
		if _, err := Combine(file, resources); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v\nwant %s", err, want)
		}
	}
	if _, err := Combine(file, make([]Resource, maxResources+1)); err == nil {
		t.Error("too many resources were accepted")
	}
}

// The digest of a version depends on its content but not on the order of the resources.
func TestDigest(t *testing.T) {
	resources := []Resource{{Kind: "a", Name: "1", Fields: decodeObject(t, `{"x":1,"y":[true]}`)}, {Kind: "b"}}
	reordered := []Resource{{Kind: "b"}, {Kind: "a", Name: "1", Fields: decodeObject(t, `{"y":[true],"x":1}`)}}
	if Digest(resources) != Digest(reordered) {
		t.Error("the digest depends on the order")
	}
	reordered[1].Fields["x"] = 2.0
	if Digest(resources) == Digest(reordered) {
		t.Error("the digest does not depend on a value")
	}
}

// The file deploy/config.schema.json is the schema that the program prints.
func TestSchema(t *testing.T) {
	want, err := Schema()
	require.NoError(t, err)
	got, err := os.ReadFile("../../deploy/config.schema.json")
	if err != nil || string(got) != string(want) {
		t.Errorf("deploy/config.schema.json is not what dunlinsaild config schema prints: %v", err)
	}
}
