package zones

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

const ms = monotime.Millisecond

// testSettings returns settings of three zones and two classes, for a fleet with the given number of instances.
func testSettings(instances int) Settings {
	return Settings{
		Zones:                3,
		ClassWeights:         []float64{1, 5},
		ZonePreferences:      [][]int{{0, 1, 2}, {1, 2, 0}, {2, 0, 1}},
		MaxSpareFraction:     0.8,
		MaxSpillFraction:     1,
		InitialRecoveryShare: 0.05,
		RecoveryStep:         second,
		MinDownTime:          second,
		MaxDownTime:          30 * second,
		MinInFlight:          1,
		MaxInFlight:          200,
		Seed:                 1,
		Instances:            instances,
	}
}

// simulation simulates, in virtual time, three zones of servers and instances that send requests to them.
type simulation struct {
	clock      monotime.Micros
	events     eventQueue
	eventCount int
	rng        *rand.Rand
	zones      [3]*zoneServers
	routers    []*Router

	// Counts since the last call of takeInTimeFractions.
	requests, servedInTime, rejected [3]int // numbers of requests, by home zone
	spilled                          [3]int // number of spilled requests, by the zone that received them
	notInTime                        [3]int // number of attempts not served in time, by the zone that received them
}

// zoneServers simulates the servers of a zone as a number of cores that share one queue.
type zoneServers struct {
	cores          int
	busyCores      int
	queue          []*sentAttempt
	stopped        bool
	unresponsive   bool
	warmupStart    monotime.Micros // time of the latest restart; 0 if the servers were never restarted
	slowdownFactor float64
}

type sentAttempt struct {
	router           *Router
	homeZone, zone   int
	class            int
	spill            bool
	sentAt           monotime.Micros
	inFlightWhenSent int
	ended            bool
}

type simEvent struct {
	at       monotime.Micros
	sequence int
	action   func()
}
type eventQueue []simEvent

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	return queue[i].at < queue[j].at || queue[i].at == queue[j].at && queue[i].sequence < queue[j].sequence
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(x any)   { *queue = append(*queue, x.(simEvent)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

func (sim *simulation) schedule(delay monotime.Micros, action func()) {
	sim.eventCount++
	heap.Push(&sim.events, simEvent{sim.clock + delay, sim.eventCount, action})
}

func (sim *simulation) runUntil(end monotime.Micros) {
	for len(sim.events) > 0 && sim.events[0].at <= end {
		next := heap.Pop(&sim.events).(simEvent)
		sim.clock = next.at
		next.action()
	}
	sim.clock = end
}

const (
	serviceTime      = 10 * ms
	latencyObjective = 100 * ms
	clientTimeout    = 300 * ms
	warmupTime       = 10 * second
)

func newSimulation(tb testing.TB, instances, cores int, ratePerZone float64) *simulation {
	tb.Helper()
	sim := &simulation{rng: rand.New(rand.NewPCG(1, uint64(instances)))}
	for i := range sim.zones {
		sim.zones[i] = &zoneServers{cores: cores, slowdownFactor: 1}
	}
	for i := range instances {
		settings := testSettings(instances)
		settings.Seed = uint64(i + 1)
		router, err := New(settings)
		if err != nil {
			tb.Fatal(err)
		}
		sim.routers = append(sim.routers, router)
		homeZone := i % 3
		ratePerInstance := ratePerZone / float64(instances/3)
		var arrive func()
		arrive = func() {
			sim.sendRequest(router, homeZone)
			sim.schedule(monotime.Micros(sim.rng.ExpFloat64()/ratePerInstance*float64(second))+1, arrive)
		}
		sim.schedule(monotime.Micros(sim.rng.Float64()*float64(second)), arrive)
	}
	return sim
}

func (sim *simulation) sendRequest(router *Router, homeZone int) {
	class := 0
	if sim.rng.IntN(5) == 0 {
		class = 1
	}
	sim.requests[homeZone]++
	decision := router.Choose(sim.clock, Request{Group: homeZone, Class: class, RequiredZone: -1})
	if decision.Zone < 0 {
		sim.rejected[homeZone]++
		return
	}
	router.OnAttemptSent(sim.clock, decision.Zone, decision.Spill)
	if decision.Spill {
		sim.spilled[decision.Zone]++
	}
	sent := &sentAttempt{
		router:           router,
		homeZone:         homeZone,
		zone:             decision.Zone,
		class:            class,
		spill:            decision.Spill,
		sentAt:           sim.clock,
		inFlightWhenSent: router.InFlight(decision.Zone),
	}
	servers := sim.zones[decision.Zone]
	switch {
	case servers.stopped:
		sim.schedule(ms, func() { sim.endAttempt(sent, false) })
		return
	case servers.unresponsive:
	case servers.busyCores < servers.cores:
		sim.serve(servers, sent)
	default:
		servers.queue = append(servers.queue, sent)
	}
	sim.schedule(clientTimeout, func() { sim.endAttempt(sent, false) })
}

func (sim *simulation) serve(servers *zoneServers, sent *sentAttempt) {
	servers.busyCores++
	duration := float64(serviceTime) * (0.7 + 0.6*sim.rng.Float64()) * servers.slowdownFactor
	if servers.warmupStart > 0 {
		duration /= min(1, 0.2+0.8*float64(sim.clock-servers.warmupStart)/float64(warmupTime))
	}
	sim.schedule(monotime.Micros(duration), func() {
		servers.busyCores--
		if !servers.stopped {
			sim.endAttempt(sent, true)
		}
		for len(servers.queue) > 0 && servers.busyCores < servers.cores {
			next := servers.queue[0]
			servers.queue = servers.queue[1:]
			if !next.ended {
				sim.serve(servers, next)
			}
		}
	})
}

func (sim *simulation) endAttempt(sent *sentAttempt, served bool) {
	if sent.ended {
		return
	}
	sent.ended = true
	duration := sim.clock - sent.sentAt
	inTime := served && duration <= latencyObjective
	if inTime {
		sim.servedInTime[sent.homeZone]++
	} else {
		sim.notInTime[sent.zone]++
	}
	sent.router.OnAttemptEnded(sim.clock, sent.zone, Outcome{
		Class:    sent.class,
		Spill:    sent.spill,
		Duration: duration,
		InFlight: sent.inFlightWhenSent,
		Served:   served,
		InTime:   inTime,
	})
}

// stopZone stops the servers of a zone: requests in progress are lost, new requests fail after 1 ms, and discovery
// reports no ready endpoints after discoveryDelay.
func (sim *simulation) stopZone(zoneIndex int, discoveryDelay monotime.Micros) {
	servers := sim.zones[zoneIndex]
	servers.stopped = true
	servers.queue = nil
	sim.schedule(discoveryDelay, func() {
		if servers.stopped {
			sim.setReady(zoneIndex, 0)
		}
	})
}

func (sim *simulation) restartZone(zoneIndex int) {
	servers := sim.zones[zoneIndex]
	servers.stopped = false
	servers.unresponsive = false
	servers.warmupStart = sim.clock
	sim.setReady(zoneIndex, servers.cores)
}

func (sim *simulation) setReady(zoneIndex, ready int) {
	for _, router := range sim.routers {
		router.SetReadyEndpoints(sim.clock, zoneIndex, ready)
	}
}

// takeInTimeFractions returns the fraction of the requests since its last call that were served in time, by home zone
// and overall. It then resets the counts of the simulation.
func (sim *simulation) takeInTimeFractions() (inTimeFractions [3]float64, overall float64) {
	inTime, requests := 0, 0
	for i := range inTimeFractions {
		inTimeFractions[i] = float64(sim.servedInTime[i]) / float64(max(1, sim.requests[i]))
		inTime += sim.servedInTime[i]
		requests += sim.requests[i]
	}
	for _, counts := range []*[3]int{&sim.requests, &sim.servedInTime, &sim.rejected, &sim.spilled, &sim.notInTime} {
		*counts = [3]int{}
	}
	return inTimeFractions, float64(inTime) / float64(max(1, requests))
}

const (
	coresPerZone       = 12    // number of cores in each zone
	requestRatePerZone = 750.0 // requests per second of each zone's clients; a zone can serve 1,200
)

// checkOutage simulates ten seconds in which zone 0 is down. It checks that the other zones serve their own
// clients as before, that they serve as much spill as they can, and that the spill does not oscillate.
func (sim *simulation) checkOutage(t *testing.T) {
	t.Helper()
	minSpill := 1e9
	maxSpill := 0.0
	for elapsedSeconds := range 10 {
		sim.runUntil(monotime.Micros(43+elapsedSeconds) * second)
		spilled := float64(sim.spilled[1] + sim.spilled[2])
		minSpill = min(minSpill, spilled)
		maxSpill = max(maxSpill, spilled)
		inTimeFractions, overall := sim.takeInTimeFractions()
		if inTimeFractions[1] < 0.95 || inTimeFractions[2] < 0.95 {
			t.Errorf("second %d: fractions of requests served in time, by home zone: %.3f",
				43+elapsedSeconds, inTimeFractions)
		}
		// The clients of all zones send 2,250 requests per second. The two zones that are up can serve 2,400, and their
		// own clients leave 900 of these unused. Spill may use 0.8 of the 900, which is 720.
		if want := 0.95 * (2*requestRatePerZone + 0.8*900*requestRatePerZone/900) /
			(3 * requestRatePerZone); overall < want*0.95 {
			t.Errorf("second %d: fraction of all requests served in time is %.3f, want %.3f",
				43+elapsedSeconds, overall, want)
		}
	}
	if maxSpill > 1.25*minSpill {
		t.Errorf("the spill oscillates between %v and %v requests per second", minSpill, maxSpill)
	}
	t.Logf("spill between %v and %v requests per second", minSpill, maxSpill)
}

// checkRecovery simulates the thirty seconds after the restart of zone 0. It checks that the zone never receives more
// requests than it can serve in time, and that the clients of the other zones are served.
func (sim *simulation) checkRecovery(t *testing.T) {
	t.Helper()
	for halfSeconds := range 60 {
		sim.runUntil(52*second + monotime.Micros(halfSeconds+1)*second/2)
		if sent := sim.servedInTime[0] + sim.notInTime[0]; sim.notInTime[0] > 5 && sim.notInTime[0] > sent/10 {
			t.Errorf("%.1f s after the zone's restart %d of %d attempts were not served in time",
				float64(halfSeconds+1)/2, sim.notInTime[0], sent)
		}
		inTimeFractions, _ := sim.takeInTimeFractions()
		if inTimeFractions[1] < 0.9 || inTimeFractions[2] < 0.9 {
			t.Errorf("%.1f s after the restart: fractions of requests served in time, by home zone: %.3f",
				float64(halfSeconds+1)/2, inTimeFractions)
		}
	}
}

// TestZoneOutageAndRecovery stops and restarts the servers of a zone. The other zones must serve their own clients as
// before and as much spill as they can, the spill must not oscillate, and the recovering zone must never receive more
// requests than it can serve in time.
func TestZoneOutageAndRecovery(t *testing.T) {
	for _, instances := range []int{3, 30, 300} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			sim := newSimulation(t, instances, coresPerZone, requestRatePerZone)
			sim.runUntil(20 * second)
			sim.takeInTimeFractions()
			sim.runUntil(30 * second)
			if inTimeFractions, overall := sim.takeInTimeFractions(); overall < 0.99 {
				t.Errorf("before the outage: fraction served in time %.3f, by home zone %.3f", overall, inTimeFractions)
			}
			sim.stopZone(0, 2*second)
			sim.runUntil(42 * second) // until the traffic is stable
			sim.takeInTimeFractions()
			sim.checkOutage(t)
			sim.restartZone(0)
			sim.takeInTimeFractions()
			sim.checkRecovery(t)
			sim.runUntil(100 * second)
			sim.takeInTimeFractions()
			sim.runUntil(110 * second)
			if inTimeFractions, overall := sim.takeInTimeFractions(); overall < 0.99 ||
				sim.spilled[1]+sim.spilled[2] > 0 && inTimeFractions[0] < 0.98 {
				t.Errorf("long after the outage: fraction served in time %.3f, by home zone %.3f",
					overall, inTimeFractions)
			}
			if state, _, _ := sim.routers[0].ZoneState(0); state != Up {
				t.Errorf("the zone is %v long after the outage", state)
			}
		})
	}
}

// TestZoneGoesDownWithoutAnswersOrEndpoints verifies that a zone that does not respond goes down although
// discovery lists its endpoints, that a zone without ready endpoints goes down at once, that requests are
// rejected at once while no zone is up, and that requests are served again after the zones have recovered.
func TestZoneGoesDownWithoutAnswersOrEndpoints(t *testing.T) {
	sim := newSimulation(t, 3, 12, 600)
	sim.runUntil(10 * second)
	sim.zones[0].unresponsive = true
	sim.runUntil(13 * second)
	if state, share, _ := sim.routers[0].ZoneState(0); state == Up || share > testSettings(1).InitialRecoveryShare {
		t.Errorf("a zone that is cut off is %v and receives a share of %v of its requests", state, share)
	}
	sim.setReady(0, 0)
	sim.setReady(1, 0)
	sim.setReady(2, 0)
	for i, router := range sim.routers {
		decision := router.Choose(sim.clock, Request{Group: i, RequiredZone: -1})
		if decision.Zone >= 0 || decision.Reason != NoZoneUp || decision.RetryAfter <= 0 {
			t.Errorf("decision while no zone is up: %+v", decision)
		}
	}
	if decision := sim.routers[0].Choose(sim.clock, Request{RequiredZone: 2}); decision.Zone >= 0 ||
		decision.Reason != RequiredZoneDown {
		t.Errorf("decision while the required zone is down: %+v", decision)
	}
	sim.setReady(1, 12)
	sim.setReady(2, 12)
	sim.restartZone(0)
	sim.runUntil(60 * second)
	sim.takeInTimeFractions()
	sim.runUntil(70 * second)
	if inTimeFractions, overall := sim.takeInTimeFractions(); overall < 0.99 {
		t.Errorf("after the recovery: fraction served in time %.3f, by home zone %.3f", overall, inTimeFractions)
	}
}

// TestFlappingZoneStaysDownLonger verifies that a zone that repeatedly goes down and recovers stays down longer each
// time.
func TestFlappingZoneStaysDownLonger(t *testing.T) {
	router, err := New(testSettings(1))
	if err != nil {
		t.Fatal(err)
	}
	now := monotime.Micros(0)
	previousDownTime := monotime.Micros(0)
	for i := range 4 {
		router.SetReadyEndpoints(now, 0, 0)
		router.SetReadyEndpoints(now, 0, 5)
		downAt := now
		for {
			now += 10 * ms
			router.Choose(now, Request{RequiredZone: -1})
			if state, _, _ := router.ZoneState(0); state == Recovering {
				break
			}
		}
		if downTime := now - downAt; i > 0 && downTime < previousDownTime*5/4 {
			t.Errorf("flap %d: down for %d ms, the time before for %d ms", i, downTime/ms, previousDownTime/ms)
		} else {
			previousDownTime = downTime
		}
	}
}

// checkDecision checks the properties that every decision must have: a request with a required zone is sent to no other
// zone, a rejection has a reason, and Spill is set only for a request that has no required zone and is sent to another
// zone than its home zone.
func checkDecision(t *rapid.T, settings *Settings, request Request, decision Decision) {
	t.Helper()
	if request.RequiredZone >= 0 && decision.Zone >= 0 && (decision.Zone != request.RequiredZone || decision.Spill) {
		t.Fatalf("request %+v with a required zone: decision %+v", request, decision)
	}
	if decision.Zone < 0 {
		if decision.Reason == None {
			t.Fatalf("request %+v is rejected without a reason: %+v", request, decision)
		}
		return
	}
	if decision.Spill != (request.RequiredZone < 0 && decision.Zone != settings.ZonePreferences[request.Group][0]) {
		t.Fatalf("request %+v: Spill is wrong in decision %+v", request, decision)
	}
}

// checkNothingInFlight checks that the router counts no attempts in flight in any zone. It is called after all attempts
// have ended.
func checkNothingInFlight(t *rapid.T, router *Router) {
	t.Helper()
	for i := range router.zones {
		if zone := &router.zones[i]; zone.inFlight != 0 || zone.spillInFlight != 0 {
			t.Fatalf("zone %d still has %d attempts in flight, %d of them spill", i, zone.inFlight, zone.spillInFlight)
		}
	}
}

// openAttempt is an attempt in flight.
type openAttempt struct {
	zone  int
	spill bool
}

// TestSpillStaysWithinLimits verifies for random requests and outcomes that spill never uses more than
// MaxSpareFraction of a zone's capacity, that no attempt is counted as in flight after its end, and that a
// request with a required zone is sent to no other zone.
func TestSpillStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings(rapid.IntRange(1, 50).Draw(t, "instances"))
		settings.MaxSpareFraction = rapid.Float64Range(0.1, 1).Draw(t, "spare")
		settings.Seed = rapid.Uint64().Draw(t, "seed")
		router, err := New(settings)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(settings.Seed, 9))
		var inFlight []openAttempt
		now := monotime.Micros(0)
		for range 3000 {
			now += monotime.Micros(rng.IntN(3000))
			switch action := rng.IntN(20); {
			case action == 0:
				router.SetReadyEndpoints(now, rng.IntN(3), rng.IntN(2)*5)
			case action < 11:
				request := Request{
					Group:        rng.IntN(3),
					Class:        rng.IntN(2),
					OverQuota:    rng.IntN(4) == 0,
					RequiredZone: max(-1, rng.IntN(8)-5),
				}
				decision := router.Choose(now, request)
				checkDecision(t, &settings, request, decision)
				if decision.Zone < 0 {
					continue
				}
				router.OnAttemptSent(now, decision.Zone, decision.Spill)
				zone := &router.zones[decision.Zone]
				maxSpill := max(1, settings.MaxSpareFraction*float64(zone.limiter.Limit())+1)
				if decision.Spill && float64(zone.spillInFlight) > maxSpill {
					t.Fatalf("%d spilled attempts in flight, with a learned limit of %d",
						zone.spillInFlight, zone.limiter.Limit())
				}
				inFlight = append(inFlight, openAttempt{decision.Zone, decision.Spill})
			case len(inFlight) > 0:
				i := rng.IntN(len(inFlight))
				attempt := inFlight[i]
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				duration := monotime.Micros(rng.IntN(200)) * ms
				router.OnAttemptEnded(now, attempt.zone, Outcome{
					Class:        rng.IntN(2),
					Spill:        attempt.spill,
					Duration:     duration,
					InFlight:     1 + rng.IntN(5),
					Served:       rng.IntN(4) > 0,
					InTime:       duration < latencyObjective,
					Inconclusive: rng.IntN(10) == 0,
				})
			}
		}
		for _, attempt := range inFlight {
			router.OnAttemptEnded(now, attempt.zone, Outcome{Spill: attempt.spill, Inconclusive: true})
		}
		checkNothingInFlight(t, router)
	})
}

func TestInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"zones":       func(s *Settings) { s.Zones = 0 },
		"classes":     func(s *Settings) { s.ClassWeights = nil },
		"preferences": func(s *Settings) { s.ZonePreferences = nil },
		"no zone":     func(s *Settings) { s.ZonePreferences = [][]int{{0, 3}} },
		"twice":       func(s *Settings) { s.ZonePreferences = [][]int{{0, 0}} },
		"empty":       func(s *Settings) { s.ZonePreferences = [][]int{{}} },
		"spare":       func(s *Settings) { s.MaxSpareFraction = 1.1 },
		"spill":       func(s *Settings) { s.MaxSpillFraction = 0 },
		"share":       func(s *Settings) { s.InitialRecoveryShare = 0 },
		"step":        func(s *Settings) { s.RecoveryStep = 0 },
		"down time":   func(s *Settings) { s.MaxDownTime = 1 },
		"in flight":   func(s *Settings) { s.MinInFlight = 0 },
		"instances":   func(s *Settings) { s.Instances = 0 },
	} {
		settings := testSettings(1)
		invalidate(&settings)
		if _, err := New(settings); err == nil {
			t.Errorf("invalid setting %s is accepted", name)
		}
	}
}

// TestSilentZoneGoesDown verifies that a zone that does not respond to attempts in flight goes down after
// silenceTimeout, before the attempts time out.
func TestSilentZoneGoesDown(t *testing.T) {
	router, err := New(testSettings(1))
	if err != nil {
		t.Fatal(err)
	}
	for range minSilentInFlight {
		router.OnAttemptSent(second, 0, false)
	}
	if decision := router.Choose(second+silenceTimeout/2, Request{RequiredZone: -1}); decision.Zone != 0 {
		t.Errorf("decision after half of the silence timeout: %+v", decision)
	}
	if decision := router.Choose(second+silenceTimeout+ms, Request{RequiredZone: -1}); decision.Zone == 0 {
		t.Errorf("decision after the silence timeout: %+v", decision)
	}
}

// TestHalfHealthyRecoveryIsHeldBack verifies that the share of a recovering zone is at most twice
// InitialRecoveryShare while half of its attempts are not in time, and that the zone is up again after all
// attempts are in time.
func TestHalfHealthyRecoveryIsHeldBack(t *testing.T) {
	router, err := New(testSettings(1))
	if err != nil {
		t.Fatal(err)
	}
	now := monotime.Micros(0)
	router.SetReadyEndpoints(now, 0, 0)
	router.SetReadyEndpoints(now, 0, 4)
	sendRequestsFor := func(duration monotime.Micros, inTime func(i int) bool) (maxShare float64) {
		sentCount := 0
		for end := now + duration; now < end; now += 2 * ms {
			if decision := router.Choose(now, Request{RequiredZone: -1}); decision.Zone == 0 {
				router.OnAttemptSent(now, 0, false)
				sentCount++
				router.OnAttemptEnded(now+ms, 0, Outcome{
					Duration: ms, InFlight: 1, Served: true, InTime: inTime(sentCount),
				})
			}
			if state, share, _ := router.ZoneState(0); state != Down {
				maxShare = max(maxShare, share)
			}
		}
		return maxShare
	}
	maxShare := sendRequestsFor(20*second, func(i int) bool { return i%2 == 0 })
	if maxShare > 2*router.settings.InitialRecoveryShare {
		t.Errorf("the recovering zone received a share of %v of its requests while half of its attempts were late",
			maxShare)
	}
	sendRequestsFor(30*second, func(int) bool { return true })
	if state, _, _ := router.ZoneState(0); state != Up {
		t.Errorf("the zone is %v after all attempts were in time", state)
	}
}
