// Package measure evaluates a run from the point of view of the clients' users. Service is the priority weight
// of the operations that were served within the latency objective of their class, divided by the priority
// weight of all operations. It is measured from the first second on, and a client's retries count as part of
// the operation. The main figure combines the service of the whole run, of its worst ten seconds, of its worst
// class and of its worst tenant (within the tenant's quota) with the weights of the site's goal, and subtracts
// the site's prices. Costs and violations of rules are counted separately. The package handles finished
// operations and must not import package simulation.
package measure

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

const second monotime.Micros = 1_000_000

// Criteria are the classes, tenants, goal, prices and limits with which a run is evaluated.
type Criteria struct {
	Classes []balancer.Class  // indexed by Operation.Class
	Tenants []balancer.Tenant // indexed by Operation.Tenant
	// OverQuotaWeight is the weight of a request over its tenant's quota, relative to a request within it.
	OverQuotaWeight float64
	Goal            balancer.Goal
	Prices          balancer.Prices
	// TenantLimits are the limits of requests a second, by tenant name, for all instances together. 0 is no
	// limit.
	TenantLimits map[string]float64
}

const (
	worstWindowSeconds = 10  // length of the time window with the lowest service
	maxBins            = 120 // most bins (entries) of each series over time
)

// Costs are the counts of requests, connections and work of a run, and of the rules that were violated.
type Costs struct {
	ClientRequests int64   `json:"Tries"`    // requests that clients sent
	Attempts       int64   `json:"Attempts"` // attempts that instances sent to endpoints
	CrossZone      int64   `json:"Cross"`    // attempts that instances sent to another zone
	Dials          int64   `json:"Dials"`    // new connections to endpoints
	Probes         int64   `json:"Probes"`
	OfferedWork    float64 `json:"Offered"`   // work of all operations, counted once each, in microseconds
	ExecutedWork   float64 `json:"Worked"`    // work that endpoints did, in microseconds
	UsefulWork     float64 `json:"Useful"`    // work that endpoints did for responses that clients received
	Decisions      int64   `json:"Decisions"` // decisions of instances on requests, outcomes, probes and timers

	// The following fields count violations of rules.
	Collapses int64 `json:"Falls"` // endpoints that collapsed while warming up
	// AttemptsAfterDrain counts attempts that reached a draining endpoint after the drain grace had passed. The
	// drain grace starts when discovery notifies the instance.
	AttemptsAfterDrain int64 `json:"Drained"`
	// DuplicateEffects counts operations that took effect more than once because an instance retried them.
	DuplicateEffects int64 `json:"Twice"`
	// LateResponses counts final responses that were sent after the client's deadline or never.
	LateResponses int64 `json:"LateAnswer"`

	// ClientDuplicateEffects counts operations that took effect more than once because the client retried them.
	ClientDuplicateEffects int64 `json:"ClientsTwice"`
	KilledInFlight         int64 `json:"KilledOpen"` // requests in flight at instances that were killed
	FleetMessages          int64 `json:"Words"`      // messages between instances
}

// Meter evaluates one run. Use New to create a Meter.
type Meter struct {
	criteria Criteria
	end      monotime.Micros

	binWidth             monotime.Micros
	bins                 []seriesBin
	quotas               []tokenBucket // indexed by tenant
	classes              []groupWeight
	tenants              []groupWeight
	secondWeights        []weightSum
	quotaSpending        quotaSpendTimes
	maintenance          map[string]float64
	tenantDemand         map[int][]int // operations that started, by tenant and second
	totalWeight          weightSum
	clientTotals         map[[2]int]*clientTotals // by the indices of the instance and of its client process
	lateFailures         float64                  // weight of operations that ended unserved after the objective
	outcomeCounts        [simclient.OutcomeCount]int64
	operationCount       int64
	unsuccessfulRequests struct{ rejected, failed, unanswered int64 }
	arrivals             arrivals
	priorityAudit        *priorityAudit
	latencies            []*hdrhistogram.Histogram // indexed by class
	digest               *xxhash.Digest

	Costs Costs
}

// weightSum is the priority weight of a set of operations (offered), and the weight that was earned by serving
// them.
type weightSum struct{ offered, earned float64 }

// groupWeight is the weight of the operations of one class or of one tenant.
type groupWeight struct{ weightSum }

// clientTotals are the totals of the operations of one client process.
type clientTotals struct {
	weightSum
	operations int64
	latencies  []int32 // latencies of the served operations, in tenths of a millisecond
}

// tokenBucket limits the rate of a tenant's requests that are within its quota.
type tokenBucket struct {
	level     float64
	updatedAt monotime.Micros
}

// seriesBin is the totals of the operations that started within one bin of the series.
type seriesBin struct {
	weightSum
	operations, onTime, late, unserved, rejectedRequests, failedRequests int64
	latencies                                                            *hdrhistogram.Histogram
	classes                                                              []weightSum
	zones                                                                []weightSum
}

// New returns a meter for a run whose operations start within the given length, with clients in the given
// number of zones.
func New(criteria Criteria, length monotime.Micros, zones int) *Meter {
	m := &Meter{criteria: criteria, end: length, digest: xxhash.New(), clientTotals: map[[2]int]*clientTotals{}}
	m.binWidth = max(second, (length+maxBins-1)/maxBins)
	m.binWidth = (m.binWidth + second - 1) / second * second
	m.bins = make([]seriesBin, (length+m.binWidth-1)/m.binWidth)
	for i := range m.bins {
		m.bins[i].latencies = hdrhistogram.New(10, int64(time.Minute/time.Microsecond), 2)
		m.bins[i].classes = make([]weightSum, len(criteria.Classes))
		m.bins[i].zones = make([]weightSum, zones)
	}
	m.secondWeights = make([]weightSum, (length+second-1)/second)
	m.arrivals = arrivals{
		seconds:  make([]Second, len(m.secondWeights)),
		probesAt: make([][]uint32, len(m.secondWeights)),
		dialsAt:  make([][]uint32, len(m.secondWeights)),
	}
	m.classes = make([]groupWeight, len(criteria.Classes))
	m.tenants = make([]groupWeight, len(criteria.Tenants))
	m.quotas = make([]tokenBucket, len(criteria.Tenants))
	for i := range m.quotas {
		m.quotas[i].level = max(1, criteria.Tenants[i].Quota)
	}
	for range criteria.Classes {
		m.latencies = append(m.latencies, hdrhistogram.New(10, int64(time.Minute/time.Microsecond), 3))
	}
	return m
}

// BinWidth returns the length of a bin of the series.
func (m *Meter) BinWidth() monotime.Micros { return m.binWidth }

// Weight returns the weight of an operation that starts now, and whether it is within its tenant's quota. It
// must be called in the order in which the operations start.
func (m *Meter) Weight(operation *simclient.Operation) (weight float64, withinQuota bool) {
	weight = m.criteria.Classes[operation.Class].PriorityWeight
	if operation.Tenant < 0 || operation.Tenant >= len(m.quotas) || m.criteria.Tenants[operation.Tenant].Quota <= 0 {
		return weight, true
	}
	// The bucket's capacity is the quota of one second.
	bucket := &m.quotas[operation.Tenant]
	rate := m.criteria.Tenants[operation.Tenant].Quota
	bucket.level = min(max(1, rate), bucket.level+rate*float64(operation.StartedAt-bucket.updatedAt)/float64(second))
	bucket.updatedAt = operation.StartedAt
	if bucket.level < 1 {
		return weight * m.criteria.OverQuotaWeight, false
	}
	bucket.level--
	return weight, true
}

// OperationEnded records an operation that has ended. weight and withinQuota are the results of Weight when the
// operation started, and zone is the zone of its instance.
func (m *Meter) OperationEnded(operation *simclient.Operation, zone int, weight float64, withinQuota bool) {
	class := &m.criteria.Classes[operation.Class]
	latency := operation.EndedAt - operation.StartedAt
	earned := 0.0
	onTime := operation.Outcome == simclient.Served && latency <= class.LatencyObjective
	if operation.Outcome == simclient.Served {
		earned = weight
		if !onTime {
			earned *= class.LateWeight
		}
		// The histogram's upper bound is a minute: longer latencies count as a minute.
		_ = m.latencies[operation.Class].RecordValue(min(max(10, latency), int64(time.Minute/time.Microsecond)))
	} else if latency > class.LatencyObjective {
		m.lateFailures += weight
	}
	m.operationCount++
	m.outcomeCounts[operation.Outcome]++
	m.countDemand(operation)
	m.priorityAudit.operationEnded(operation, weight, onTime)
	m.totalWeight.add(weight, earned)
	m.classes[operation.Class].add(weight, earned)
	if withinQuota && operation.Tenant >= 0 && operation.Tenant < len(m.tenants) {
		m.tenants[operation.Tenant].add(weight, earned)
	}
	client := m.clientTotals[[2]int{operation.Instance, operation.Process}]
	if client == nil {
		client = &clientTotals{}
		m.clientTotals[[2]int{operation.Instance, operation.Process}] = client
	}
	client.add(weight, earned)
	client.operations++
	if operation.Outcome == simclient.Served {
		client.latencies = append(client.latencies, int32(min(latency/100, math.MaxInt32)))
	}
	m.secondWeights[min(operation.StartedAt/second, int64(len(m.secondWeights)-1))].add(weight, earned)
	startBin := &m.bins[min(operation.StartedAt/m.binWidth, int64(len(m.bins)-1))]
	startBin.operationEnded(operation, zone, onTime, weight, earned)
	m.unsuccessfulRequests.rejected += int64(operation.Rejected)
	m.unsuccessfulRequests.failed += int64(operation.Failed)
	m.unsuccessfulRequests.unanswered += int64(operation.Unanswered)
	m.Costs.OfferedWork += float64(operation.Work)
	m.addToDigest(operation)
}

// countDemand counts an operation of a tenant in the second in which the operation started.
func (m *Meter) countDemand(operation *simclient.Operation) {
	if operation.Tenant < 0 {
		return
	}
	if m.tenantDemand == nil {
		m.tenantDemand = map[int][]int{}
	}
	if m.tenantDemand[operation.Tenant] == nil {
		m.tenantDemand[operation.Tenant] = make([]int, len(m.secondWeights))
	}
	m.tenantDemand[operation.Tenant][min(operation.StartedAt/second, int64(len(m.secondWeights)-1))]++
}

// operationEnded adds a finished operation to the bin in which it started.
func (bin *seriesBin) operationEnded(operation *simclient.Operation, zone int, onTime bool, weight, earned float64) {
	latency := operation.EndedAt - operation.StartedAt
	bin.add(weight, earned)
	bin.classes[operation.Class].add(weight, earned)
	if zone >= 0 && zone < len(bin.zones) {
		bin.zones[zone].add(weight, earned)
	}
	bin.operations++
	switch {
	case onTime:
		bin.onTime++
	case operation.Outcome == simclient.Served:
		bin.late++
	default:
		bin.unserved++
	}
	if operation.Outcome == simclient.Served {
		// The histogram's upper bound is a minute: longer latencies count as a minute.
		_ = bin.latencies.RecordValue(min(max(10, latency), int64(time.Minute/time.Microsecond)))
	}
	bin.rejectedRequests += int64(operation.Rejected)
	bin.failedRequests += int64(operation.Failed + operation.Unanswered)
}

// addToDigest adds the outcome, end time and counts of a finished operation to the digest of the run.
func (m *Meter) addToDigest(operation *simclient.Operation) {
	var encoded [64]byte
	for i, value := range [...]uint64{operation.ID, uint64(operation.Outcome), uint64(operation.EndedAt),
		uint64(operation.Requests),
		uint64(operation.Executions), uint64(operation.Effects), uint64(operation.Rejected), uint64(operation.Failed)} {
		binary.LittleEndian.PutUint64(encoded[8*i:], value)
	}
	m.digest.Write(encoded[:])
}

func (sum *weightSum) add(offered, earned float64) {
	sum.offered += offered
	sum.earned += earned
}

// share returns the fraction of the offered weight that was earned; 1 if no weight was offered.
func (sum weightSum) share() float64 {
	if sum.offered <= 0 {
		return 1
	}
	return sum.earned / sum.offered
}

// RecordMaintenance records the maintenance of a run: the number of machines that an operator requested, the
// number of machines that have returned, the number of requests that were sent to a machine during its
// maintenance, and the time until all machines had returned (0 if some have not returned).
func (m *Meter) RecordMaintenance(requested, returned, requestsDuring int, duration monotime.Micros) {
	m.maintenance = map[string]float64{
		"work_sent": float64(requestsDuring),
		"work_left": float64(requested - returned),
		"work_took": float64(duration) / float64(second),
	}
}
