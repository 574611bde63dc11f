package scenario

// The kinds of events: the values of an event's key what. Scenario files and stored runs have these names.
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

// The directions of EventPathBlocked and EventInstancePartition: the values of an event's key way. Without it both are
// blocked.
const (
	WayTo   = "to"   // towards the endpoints, or the instances
	WayFrom = "from" // from them
)

// eventKind says what an event of a kind applies to.
type eventKind struct {
	appliesToEndpoints bool   // it applies to endpoints, which the event selects
	sizeMeaning        string // what its key size means; "" is that it has none
}

// eventKinds are all kinds, with what each does.
var eventKinds = map[string]eventKind{
	EventSlow:           {true, "times as slow"},
	EventErrors:         {true, "part of the requests that fail at once"},
	EventUnanswered:     {true, "part of the requests that are never answered"},
	EventRejecting:      {true, "part of the requests that are turned away unseen"},
	EventInvalidReports: {true, ""}, // load reports are empty, or have impossible values
	EventNeighbour:      {true, "part of the machine that another program takes"},
	EventFalseReports:   {true, "times as slow, while its reports say that it holds nothing"},
	EventLateReports:    {true, ""}, // load reports are older by the key delay
	EventPause:          {true, ""}, // the processes stop for the event's time
	EventDrain:          {true, ""}, // the processes drain, stop once empty, and start again when the event ends
	EventKill:           {true, ""}, // the processes die, and start again when the event ends
	// The machines send nothing more, and their processes start again when the event ends.
	EventMachineLost:    {true, ""},
	EventRollingRestart: {true, ""}, // the processes drain and start again, one after another

	EventZonePartition: {false, ""}, // no message passes between two zones
	EventPathBlocked:   {true, ""},  // no message passes between instances and endpoints
	EventLag:           {true, ""},  // each message between instances and endpoints takes longer by the key delay

	EventDiscoveryDelay:  {false, ""}, // discovery is notified later by the key delay
	EventDiscoverySilent: {false, ""}, // discovery sends nothing until the event ends
	EventWatchBlocked:    {false, ""}, // instances get discovery's updates only when the event ends

	EventSurge:             {false, "times the traffic"},
	EventInstanceRestart:   {false, ""}, // instances are killed with their open requests, and start again
	EventInstanceFreeze:    {false, ""}, // instances are stopped, and go on when the event ends
	EventHotRestart:        {false, ""}, // another process takes over from an instance's while it serves
	EventInstancePartition: {false, ""}, // no message passes between these instances and the others
	// Half of the instances' messages are late by up to the key delay, and one in ten arrives twice.
	EventLateMessages: {false, ""},
	EventDemandOverstated: {false, "times what it wants that an instance says, in the model the last; " +
		"in real runs it is one more that serves nobody"},
	EventTenantLimits: {false, "times the tenants' limits in the files of instances, read again while they serve"},
	// An operator takes machines out for maintenance, each for the key delay; in runs by processes only.
	EventMaintenance: {true, ""},
	EventPowerCut:    {false, ""}, // all endpoints and instances are killed at the same time, and start again
}
