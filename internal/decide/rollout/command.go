package rollout

// Action is a kind of work that a StateMachine requests from its host.
type Action uint8

// The actions that a StateMachine requests. If the comment of an action names a method after "Result:", the host calls
// that method exactly once, with the result of the action.
const (
	// ActionValidate checks that Version is valid as a layer of Target and can be applied. Result: HandleValidated.
	ActionValidate Action = iota
	// ActionApply applies Target in place of Previous. Result: HandleApplied.
	ActionApply
	// ActionStartCanary starts to compare Target, which is running, with the configuration that ran before it. Result:
	// HandleCanaryResult.
	ActionStartCanary
	// ActionStopCanary cancels the comparison that ActionStartCanary started, which then has no result.
	ActionStopCanary
	// ActionRollBack applies Target, the last known good configuration, in place of Previous. Result: HandleRolledBack.
	ActionRollBack
	// ActionPersist stores the state that PersistentState returns. Result: HandlePersisted.
	ActionPersist
	// ActionAck acknowledges Version to its source. Confirmed is false if Version is still on canary.
	ActionAck
	// ActionNack rejects Version at its source, with Reason.
	ActionNack
	// ActionSuperseded reports that a newer version has replaced Version while it was pending. Its source gets no
	// reply.
	ActionSuperseded
)

var actionNames = [...]string{
	"validate", "apply", "start canary", "stop canary", "roll back", "persist", "ack", "nack", "superseded",
}

// String returns the human-readable name of the action.
func (a Action) String() string { return actionNames[a] }

// Command is one action with its operands. Only the operands that the comment of the action mentions are set.
type Command struct {
	Action    Action
	Version   Version
	Target    LayeredVersion
	Previous  LayeredVersion
	Confirmed bool
	Reason    string
}
