package scenario

// The kinds of events are the values of an event's key "what". Scenario files and stored runs contain these
// names.
const (
	EventSlow           = "slow"
	EventErrors         = "errors"
	EventUnanswered     = "mute"
	EventRejecting      = "full"
	EventInvalidReports = "babble"
	EventNeighbour      = "neighbour"
	EventFalseReports   = "lies"
	EventLateReports    = "late-reports"
	EventPause          = "pause"
	EventDrain          = "drain"
	EventKill           = "kill"
	EventMachineLost    = "vanish"
	EventRollingRestart = "rolling"

	EventZonePartition = "cut"
	EventPathBlocked   = "sever"
	EventLag           = "lag"

	EventDiscoveryDelay  = "stale"
	EventDiscoverySilent = "silent"
	EventWatchBlocked    = "deaf"

	EventSurge             = "surge"
	EventInstanceRestart   = "restart"
	EventInstanceFreeze    = "freeze"
	EventHotRestart        = "upgrade"
	EventInstancePartition = "part"
	EventLateMessages      = "late-words"
	EventDemandOverstated  = "liar"
	EventTenantLimits      = "limits"
	EventMaintenance       = "work"
	EventPowerCut          = "power"
)

// The directions of EventPathBlocked and EventInstancePartition are the values of an event's key "way". Without
// the key, both directions are blocked.
const (
	DirectionTo   = "to"   // messages to the endpoints (EventPathBlocked) or to the instances (EventInstancePartition)
	DirectionFrom = "from" // messages from these endpoints or instances
)

// eventKind describes what the events of a kind apply to.
type eventKind struct {
	appliesToEndpoints bool   // whether the event selects endpoints to which it applies
	sizeMeaning        string // meaning of the key "size", for error messages; "" if the kind has no size
}

// eventKinds has a description of each kind of event. The comments and the meanings of the key "size" state the
// effects.
var eventKinds = map[string]eventKind{
	EventSlow:           {true, "times as slow"},
	EventErrors:         {true, "part of the requests that fail at once"},
	EventUnanswered:     {true, "part of the requests that are never answered"},
	EventRejecting:      {true, "part of the requests that are turned away unseen"},
	EventInvalidReports: {true, ""}, // load reports are empty or have impossible values
	EventNeighbour:      {true, "part of the machine that another program takes"},
	EventFalseReports:   {true, "times as slow, while its reports say that it holds nothing"},
	EventLateReports:    {true, ""}, // load reports are delayed by the value of the key "delay"
	EventPause:          {true, ""}, // the processes are stopped for the duration of the event
	EventDrain:          {true, ""}, // the processes drain, stop when idle, and start again when the event ends
	EventKill:           {true, ""}, // the processes are killed, and start again when the event ends
	// The machines disappear without closing connections. Their processes start again when the event ends.
	EventMachineLost:    {true, ""},
	EventRollingRestart: {true, ""}, // the endpoints drain and restart one after another

	EventZonePartition: {false, ""}, // messages between two zones are blocked
	EventPathBlocked:   {true, ""},  // messages between instances and endpoints are blocked
	EventLag:           {true, ""},  // messages between instances and endpoints are delayed by "delay"

	EventDiscoveryDelay:  {false, ""}, // discovery is notified of changes later, by "delay"
	EventDiscoverySilent: {false, ""}, // discovery sends no updates until the event ends
	EventWatchBlocked:    {false, ""}, // instances receive discovery's updates only when the event ends

	EventSurge:             {false, "times the traffic"},
	EventInstanceRestart:   {false, ""}, // instances are killed with their open requests, and start again
	EventInstanceFreeze:    {false, ""}, // instances are stopped, and resume when the event ends
	EventHotRestart:        {false, ""}, // a successor process takes over while the instance serves
	EventInstancePartition: {false, ""}, // messages between these instances and the others are blocked
	// Half of the messages of the instances are delayed by up to the value of the key "delay", and one in ten
	// arrives twice.
	EventLateMessages: {false, ""},
	EventDemandOverstated: {false, "times what it wants that an instance says, in the model the last; " +
		"in real runs it is one more that serves nobody"},
	EventTenantLimits: {false, "times the tenants' limits in the files of instances, read again while they serve"},
	// An operator takes machines out for maintenance, each for the value of the key "delay". Only runs with
	// real processes support this kind.
	EventMaintenance: {true, ""},
	EventPowerCut:    {false, ""}, // all endpoints and instances are killed at the same time, and start again
}
