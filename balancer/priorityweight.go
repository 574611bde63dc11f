package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	// worstWindowGain multiplies Goal.WorstWindow in the gain of a class. Requests are rejected in the worst
	// windows of time, and it is these windows that this part of the goal counts.
	worstWindowGain = 4.0

	// minClassWorkShare is the least part of the work, 0 to 1, that a class counts as having: a class of few
	// requests would else gain without bound for Goal.WorstClass.
	minClassWorkShare = 0.05

	// worstClassSpread is the difference of two on-time ratios at which a class gains less than the worst
	// class by a factor of e, for Goal.WorstClass.
	worstClassSpread = 0.1
)

// priorityWeight ranks a request from 0 to 1, by what the goal gains per unit of its work relative to the
// best class: by its class's weight, more for a class of which fewer requests are answered in time, and less
// for a tenant over its quota (tenantWeight). It may be over 1 only with a Settings.OverQuotaWeight over 1.
func (b *Balancer) priorityWeight(now monotime.Micros, r *request) float64 {
	totals := b.trafficTotals(now)
	var maxGain, ownGain float64
	for i := range b.classes {
		gain := b.classGain(now, i, totals)
		maxGain = max(maxGain, gain)
		ownGain += gain * indicator(i == int(r.Class))
	}
	if !(maxGain > 0) {
		return 1 // the settings have no weights
	}
	return ownGain / maxGain * b.tenantWeight(now, r)
}

// trafficTotals are sums over the classes.
type trafficTotals struct {
	work             float64 // microseconds of work per second
	weight           float64 // priority weight per second
	worstOnTimeRatio float64 // of the class with the least, 0 to 1
}

// trafficTotals adds up the classes' present work and weight.
func (b *Balancer) trafficTotals(now monotime.Micros) trafficTotals {
	totals := trafficTotals{worstOnTimeRatio: 1}
	for i := range b.classes {
		c := &b.classes[i]
		rate := c.requestRate.rate(now)
		totals.work += rate * c.meanWork.value
		totals.weight += rate * b.classWeight(i)
		totals.worstOnTimeRatio = min(totals.worstOnTimeRatio, c.onTimeRatio.valueOr(1))
	}
	return totals
}

// classGain returns what the goal gains per unit of work of a class: for the overall and the worst-window
// ratio by the class's weight, and for the worst-class ratio by how near the class is to the worst one.
func (b *Balancer) classGain(now monotime.Micros, class int, totals trafficTotals) float64 {
	goal := &b.settings.Goal
	c := &b.classes[class]
	workShare := c.requestRate.rate(now) * c.meanWork.value / totals.work
	gain := (goal.Overall + worstWindowGain*goal.WorstWindow) * b.classWeight(class) / c.meanWork.value
	gain = gain * totals.work / totals.weight
	onTimeLead := totals.worstOnTimeRatio - c.onTimeRatio.valueOr(1) // not above 0
	gain += goal.WorstClass / max(minClassWorkShare, workShare) * math.Exp(onTimeLead/worstClassSpread)
	return gain
}

// classWeight returns the mean priority weight of a request of a class: that of its settings, which counts
// per microsecond of mean work with Settings.WeightByWork.
func (b *Balancer) classWeight(class int) float64 {
	extraWork := (b.classes[class].meanWork.value - 1) * indicator(b.settings.WeightByWork)
	return b.settings.Classes[class].PriorityWeight * (1 + extraWork)
}

const (
	// minTenantTrafficRatio is the least ratio of this balancer's requests to all quotas (both per second) at
	// which tenants are compared: the mix of fewer requests is not that of the fleet.
	minTenantTrafficRatio = 0.05

	// tenantQuotaSlack multiplies what counts as within quota. It offsets a rejected ratio of up to a fifth,
	// which does not show that the fleet's traffic exceeds the quotas.
	tenantQuotaSlack = 1.25
)

// tenantWeight returns the mean weight of a request of r's tenant: 1 within the tenant's quota,
// Settings.OverQuotaWeight over it, by the part of the tenant's traffic that is over. It is 0 to 1, unless
// that setting is over 1.
//
// A balancer knows its own traffic only. It assumes that the fleet's traffic exceeds the quotas (requests per
// second) as much as its own traffic exceeds what it admits.
func (b *Balancer) tenantWeight(now monotime.Micros, r *request) float64 {
	if int(r.Tenant) >= len(b.tenantRates) {
		return 1
	}
	var rate, totalQuota float64
	for i := range b.tenantRates {
		rate += b.tenantRates[i].rate(now)
		totalQuota += b.settings.Tenants[i].Quota
	}
	if totalQuota <= 0 || rate < minTenantTrafficRatio*totalQuota {
		return 1
	}
	share := b.tenantRates[r.Tenant].rate(now) / rate
	admittedRatio := 1 - b.rejectedRatio.value
	withinQuota := b.settings.Tenants[r.Tenant].Quota / totalQuota / share * admittedRatio * tenantQuotaSlack
	withinQuota = min(1, withinQuota)
	return withinQuota + (1-withinQuota)*b.settings.OverQuotaWeight
}
