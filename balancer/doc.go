// Package balancer takes the decisions of a client-side load balancer: to which endpoint each request is
// sent, which requests are retried, rejected or failed, which endpoints are probed, and when discovery is
// polled.
//
// # How a host drives it
//
// A [Balancer] is a deterministic state machine without clock, goroutines or I/O. The host calls an event
// method for each thing that happens, with its instant in microseconds, and the balancer calls the host's
// [Actions] from within that method. Equal settings, seeds and events give equal actions. It serves one
// caller at a time.
//
//	b, err := balancer.New(settings, seed, actions)
//	b.Start(now)
//	b.UpdateEndpoints(now, balancer.ListFull, entries) // from discovery: each list and change
//	b.HandleRequest(now, request)                      // calls Actions.Send, Reject, or Probe and then waits
//	b.HandleOutcome(now, outcome)                      // of each Actions.Send
//	b.HandleProbe(now, id, status, latency, load)      // of each Actions.Probe
//	b.HandleTimer(now, token)                          // of each Actions.SetTimer
//
// A request gets one final answer: the outcome that answers it, Actions.Reject or Actions.Fail. The host
// calls ShouldReject before a request enters the host's own queue, HandleHeaders when a streamed answer
// begins, HandleClientGone when the client leaves, and HandleStall once its process has not run for a time.
// What the fleet decides together comes in by SetOverloadPolicy, SetSuspicion, SetCordon and SetPaused. In a
// hot restart the next balancer takes over by LearnedState, Restore and SetHandedOver.
//
// # Which file answers which question
//
// Files in reading order. These hold the rules, with their constants beside them:
//
//	lifecycle.go          start, timers, first estimates
//	endpointlist.go       Why is an endpoint known, gone, or treated as restarted?
//	polling.go            When is discovery polled, and polled again after a failure?
//	cordon.go             What do a cordon and a pause do?
//	eligibility.go        Which endpoints may get requests, and which are avoided?
//	capacity.go           How much capacity is there; how much has a warming endpoint; how many cores are assumed?
//	warmup.go             Why does a warming endpoint get so little: which of its two token buckets is empty?
//	proberate.go          Why so many probes per second?
//	proberounds.go        Which endpoints are probed, and when?
//	loadreports.go        How long is a load report used; when do reports count as late?
//	probequeue.go         Why does a request wait for probes?
//	overloadpolicy.go     What does the fleet's overload control reject?
//	admission.go          Why is a request rejected at once; when is one admitted against the prediction?
//	latencybudget.go      How late may the answer of a request be predicted to be?
//	priorityweight.go     Which class and tenant is rejected first?
//	pick.go               Why this endpoint: what do load, warm-up and another zone cost?
//	candidates.go         Which endpoints are compared for a request?
//	latencyprediction.go  Which latency is predicted of an endpoint?
//	loadprediction.go     Which load is predicted of an endpoint?
//	latencylearning.go    What does an answer change in the predictions?
//	firstanswers.go       How is the work of a class learned at first; which requests wait for that?
//	stall.go              What does a time for which this process did not run change?
//	idempotency.go        May a request be sent again, or be rejected, without a second effect?
//	attempts.go           How many attempts, with which timeout; what does a streamed answer change?
//	retrybudget.go        Why was there no retry?
//	outcomes.go           What follows from the end of an attempt?
//	rejection.go          Rejected or failed; with which Retry-After?
//	outliers.go           Why is an endpoint ejected, for how long, and what is its trial?
//	breaker.go            Why does the circuit breaker reject?
//	breakerlatency.go     Why does it reject for latency?
//	suspicion.go          What do other balancers' observations change?
//
// The others hold no rule: api.go (events and actions), settings.go and validate.go (settings), state.go,
// endpoint.go, request.go and breakerwindow.go (records), snapshot.go (what a next balancer takes over),
// reportparsing.go, statistics.go (averages, and the weights that shape them), random.go and logging.go.
//
// # Units
//
// Instants and durations are in microseconds (monotime.Micros), work is service time in microseconds at a
// usual warm endpoint, rates are per second, load is in requests, ratios and chances are 0 to 1.
//
// The package imports no more than fmt, math, slices, strconv and internal/monotime, and decides by nothing
// but its state and the event.
package balancer
