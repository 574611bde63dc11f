package rollout

// Action is what the host of a StateMachine must do.
type Action uint8

// The actions. For an action with a result the host calls the named method exactly once, with that result.
const (
	// ActionValidate: check that Version is valid in Target and can be applied. Result: HandleValidated.
	ActionValidate Action = iota
	// ActionApply: apply Target in place of Previous. Result: HandleApplied.
	ActionApply
	// ActionStartCanary: compare Target, which is applied, with the version before it. Result: HandleCanaryResult.
	ActionStartCanary
	// ActionStopCanary: abort the comparison without a result.
	ActionStopCanary
	// ActionRollBack: apply Target, which ran before, in place of Previous. Result: HandleRolledBack.
	ActionRollBack
	// ActionPersist: store PersistentState. Result: HandlePersisted.
	ActionPersist
	// ActionAck: acknowledge Version to its source. Confirmed is true if its canary has passed or there is none.
	ActionAck
	// ActionNack: reject Version at its source, with a Reason.
	ActionNack
	// ActionSuperseded: Version was replaced by a newer one while it was pending; its source gets no reply.
	ActionSuperseded
)

var actionNames = [...]string{
	"validate", "apply", "start canary", "stop canary", "roll back", "persist", "ack", "nack", "superseded",
}

// String returns the action's name for people.
func (a Action) String() string { return actionNames[a] }

// Command is one action with its operands. The other fields are set as the Action's comment names them.
type Command struct {
	Action    Action
	Version   Version
	Target    LayeredVersion
	Previous  LayeredVersion
	Confirmed bool
	Reason    string
}
