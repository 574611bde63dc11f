package rollout

// Action is a kind of work that a StateMachine requests from its host.
type Action uint8

// The actions. After an action that has a result, the host calls the method that is named as Result exactly once.
const (
	// ActionValidate checks that Version is valid as a layer of Target and can be applied. Result: HandleValidated.
	ActionValidate Action = iota
	// ActionApply applies Target in place of Previous. Result: HandleApplied.
	ActionApply
	// ActionStartCanary compares Target, which is applied, with the configuration that ran before it. Result:
	// HandleCanaryResult.
	ActionStartCanary
	// ActionStopCanary cancels the comparison of ActionStartCanary. The comparison then has no result.
	ActionStopCanary
	// ActionRollBack applies Target, the last known good configuration, in place of Previous. Result: HandleRolledBack.
	ActionRollBack
	// ActionPersist stores the PersistentState. Result: HandlePersisted.
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

// Command is one action with its operands. Only the fields that the comment of the Action names are set.
type Command struct {
	Action    Action
	Version   Version
	Target    LayeredVersion
	Previous  LayeredVersion
	Confirmed bool
	Reason    string
}
