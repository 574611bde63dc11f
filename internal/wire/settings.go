package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// maxListItems is the largest number of objects in a list of the settings, such as the list of classes.
const maxListItems = 256

// settingsParser has the key-value pairs of a settings text, and the first error in them.
type settingsParser struct {
	pairs map[string]string
	err   error
}

// parseValue returns the parsed value of a key, or defaultValue if the key is missing or its value cannot be
// parsed. In the second case the error is set; expected describes the expected values in it.
func parseValue[T any](
	t *settingsParser, key string, defaultValue T, expected string, parse func(string) (T, error),
) T {
	text, ok := t.pairs[key]
	if !ok {
		return defaultValue
	}
	v, err := parse(text)
	if err != nil {
		t.setError(key, text, "not "+expected)
		return defaultValue
	}
	return v
}

// setError sets the error to one of the given key, unless an error has been set before.
func (t *settingsParser) setError(key, value, reason string) {
	if t.err == nil {
		t.err = &balancer.SettingError{Key: key, Value: value, Reason: reason}
	}
}

func (t *settingsParser) number(key string, defaultValue float64) float64 {
	return parseValue(t, key, defaultValue, "a finite number", func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
			err = strconv.ErrRange
		}
		return v, err
	})
}

func (t *settingsParser) integer(key string, defaultValue int64) int64 {
	return parseValue(t, key, defaultValue, "a whole number", func(s string) (int64, error) {
		return strconv.ParseInt(s, 10, 64)
	})
}

// flag returns the value of a boolean setting, or false if the key is missing.
func (t *settingsParser) flag(key string) bool {
	return parseValue(t, key, false, "true or false", strconv.ParseBool)
}

// keyword returns the setting that valuesByWord has for the word of a key, or defaultValue if the key is
// missing. An unknown word is an error.
func keyword[T any](t *settingsParser, key string, defaultValue T, valuesByWord map[string]T) T {
	return parseValue(t, key, defaultValue, "a known word", func(s string) (T, error) {
		if v, ok := valuesByWord[s]; ok {
			return v, nil
		}
		return defaultValue, strconv.ErrSyntax
	})
}

// listLength returns the length of a list of objects. The list is an error if it is longer than maxListItems,
// if one of its objects has no key, or if it is required but missing.
func (t *settingsParser) listLength(key string, required bool) int {
	countKey := key + ".count"
	if _, ok := t.pairs[countKey]; !ok && required {
		t.setError(countKey, "", "is missing")
	}
	length := t.integer(countKey, 0)
	if length < 0 || length > maxListItems {
		t.setError(countKey, strconv.FormatInt(length, 10), "out of range")
		return 0
	}
	for i := range int(length) {
		if !t.hasKeyWithPrefix(fmt.Sprintf("%s.%d.", key, i)) {
			t.setError(countKey, strconv.FormatInt(length, 10), fmt.Sprintf("%s.%d is missing", key, i))
		}
	}
	return int(length)
}

func (t *settingsParser) hasKeyWithPrefix(prefix string) bool {
	for key := range t.pairs {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// metricNames maps the names in the setting reporting.fields to the metrics of load reports.
var metricNames = map[string]balancer.LoadMetric{
	"busy_reqs": balancer.MetricInflight,
	"pending":   balancer.MetricQueueLength,
	"cpu_share": balancer.MetricUtilization,
	"svc_ms":    balancer.MetricLatency,
	"served_ps": balancer.MetricServedRate,
	"failed_ps": balancer.MetricErrorRate,
}

// ParseSettings reads the settings text of an EventStart: lines key=value. Unknown keys are skipped. Its error is a
// *balancer.SettingError that names the key on the wire.
//
// The keys and keywords are the simulator's. They are spelled only in this file, each beside the field that it is
// mapped to, and in package platform, which reads the same settings as JSON. Durations are in microseconds.
func ParseSettings(text string) (balancer.Settings, error) {
	t, err := parsePairs(text)
	if err != nil {
		return balancer.Settings{}, err
	}
	s := balancer.Settings{
		Balancers:       int(t.integer("peers-total", 1)),
		Position:        int(t.integer("position", 0)),
		Zone:            int(t.integer("zone", 0)),
		Subscribe:       keyword(t, "discovery", false, map[string]bool{"automatic": false, "subscribe": true}),
		Limits:          t.limits(),
		Contract:        t.contract(),
		Prices:          t.prices(),
		Goal:            t.goal(),
		OverQuotaWeight: t.number("over-share-worth", 1),
		WeightByWork:    keyword(t, "value-by", false, map[string]bool{"request": false, "work": true}),
		LoadMetrics:     t.loadMetrics(),
	}
	for i := range t.listLength("classes", true) {
		s.Classes = append(s.Classes, t.class(fmt.Sprintf("classes.%d.", i)))
	}
	for i := range t.listLength("tenants", false) {
		s.Tenants = append(s.Tenants, t.tenant(fmt.Sprintf("tenants.%d.", i)))
	}
	t.checkUnusedKeys()
	return s, t.err
}

// checkUnusedKeys checks the settings of the protocol that no decision uses, so that an invalid value is an
// error although it has no effect.
func (t *settingsParser) checkUnusedKeys() {
	t.flag("limits.may-tell")
	for _, key := range [...]string{"tick", "contract.answer-slack"} {
		if t.integer(key, 0) < 0 {
			t.setError(key, t.pairs[key], "must not be negative")
		}
	}
}

// parsePairs reads lines of the form key=value; it skips empty lines.
func parsePairs(text string) (*settingsParser, error) {
	t := &settingsParser{pairs: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, &balancer.SettingError{
				Key:    fmt.Sprintf("line %d", i+1),
				Value:  line,
				Reason: "not of the form path=value",
			}
		}
		t.pairs[key] = value
	}
	return t, nil
}

func (t *settingsParser) limits() balancer.Limits {
	return balancer.Limits{
		Cancel:          t.flag("limits.cancel"),
		Probes:          t.flag("limits.probes"),
		Hedging:         t.flag("limits.second-copies"),
		RetryAfter:      t.flag("limits.retry-after"),
		MaxAttempts:     int(t.integer("limits.most-tries", 1)),
		MaxOpenRequests: int(t.integer("limits.most-held", math.MaxInt32)),
		MaxRetryAfter:   t.integer("limits.max-retry-after", 0),
		DialTimeout:     t.integer("limits.dial-timeout", 0),
	}
}

// defaultPollInterval is the interval within which a balancer polls discovery, unless the settings state
// another.
const defaultPollInterval = 10 * monotime.Second

func (t *settingsParser) contract() balancer.Contract {
	return balancer.Contract{
		DrainGrace:          t.integer("contract.drain-grace", 0),
		WarmupStartCapacity: t.number("contract.cold-from", 1),
		WarmupTime:          t.integer("contract.ramp-time", 0),
		CollapseMultiple:    t.number("contract.fall-multiple", 1),
		CollapseAfter:       t.integer("contract.overload-for", 0),
		PollInterval:        t.integer("contract.ask-within", defaultPollInterval),
	}
}

func (t *settingsParser) prices() balancer.Prices {
	return balancer.Prices{
		CrossZone: t.number("prices.cross-zone", 0),
		Probe:     t.number("prices.probe", 0),
		Waste:     t.number("prices.waste", 0),
		LateFail:  t.number("prices.late-fail", 0),
	}
}

func (t *settingsParser) goal() balancer.Goal {
	return balancer.Goal{
		Overall:     t.number("goal.whole", 1),
		WorstWindow: t.number("goal.worst-window", 0),
		WorstClass:  t.number("goal.worst-class", 0),
		WorstTenant: t.number("goal.worst-tenant", 0),
	}
}

// Values of the setting reporting.how, which states where load reports arrive.
const (
	NoReports         = "none"    // nowhere
	ReportsOnProbes   = "probe"   // in the responses to health checks
	ReportsOnRequests = "answers" // in all responses
)

// loadMetrics returns the metrics in each load report, or nil if there are no load reports or they have no
// metrics.
func (t *settingsParser) loadMetrics() []balancer.LoadMetric {
	reported := keyword(t, "reporting.how", false, map[string]bool{
		NoReports:         false,
		ReportsOnProbes:   true,
		ReportsOnRequests: true,
	})
	fields := t.pairs["reporting.fields"]
	if !reported || fields == "" {
		return nil
	}
	var metrics []balancer.LoadMetric
	for _, field := range strings.Split(fields, ",") {
		metrics = append(metrics, metricNames[field])
	}
	return metrics
}

// idempotencyValues maps the values of a class's setting repeat to the class's idempotency.
var idempotencyValues = map[string]balancer.Idempotency{
	"pure":        balancer.Idempotent,
	"token":       balancer.IdempotentByKey,
	"side_effect": balancer.NonIdempotent,
}

// dedupScopeValues maps the values of a class's setting group to the scope in which endpoints recognize
// duplicates.
var dedupScopeValues = map[string]balancer.DedupScope{
	"all":  balancer.DedupAll,
	"zone": balancer.DedupZone,
	"cell": balancer.DedupCell,
}

// class reads the settings of a class, whose keys start with prefix.
func (t *settingsParser) class(prefix string) balancer.Class {
	for _, key := range [...]string{"target", "give-up", "repeat"} {
		if _, ok := t.pairs[prefix+key]; !ok {
			t.setError(prefix+key, "", "is missing")
		}
	}
	return balancer.Class{
		Name:             t.pairs[prefix+"name"],
		Idempotency:      keyword(t, prefix+"repeat", balancer.NonIdempotent, idempotencyValues),
		DedupScope:       keyword(t, prefix+"group", balancer.DedupCell, dedupScopeValues),
		DedupWindow:      t.integer(prefix+"window", 0),
		LatencyObjective: t.integer(prefix+"target", 0),
		ClientTimeout:    t.integer(prefix+"give-up", 0),
		PriorityWeight:   t.number(prefix+"credit", 1),
		LateWeight:       t.number(prefix+"late-value", 0),
		Streaming:        t.flag(prefix + "stream"),
	}
}

// tenant reads the settings of a tenant, whose keys start with prefix.
func (t *settingsParser) tenant(prefix string) balancer.Tenant {
	return balancer.Tenant{
		Name:  t.pairs[prefix+"name"],
		Quota: t.number(prefix+"allowance-per-s", 0),
		Share: t.number(prefix+"share", 0),
	}
}
