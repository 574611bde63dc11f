package rollout

// Action is what the host of a StateMachine has to do.
type Action uint8

// The actions. The host answers those with a result by one call of the named method.
const (
	// ActionValidate: check that Version makes sense in Target and could be applied. Result: HandleValidated.
	ActionValidate Action = iota
	// ActionApply: apply Target in place of Previous. Result: HandleApplied.
	ActionApply
	// ActionStartCanary: compare Target, which is applied, with what ran before. Result: HandleCanaryResult.
	ActionStartCanary
	// ActionStopCanary: abort the comparison without a result.
	ActionStopCanary
	// ActionRollBack: apply Target, which ran before, in place of Previous. Result: HandleRolledBack.
	ActionRollBack
	// ActionPersist: store PersistentState. Result: HandlePersisted.
	ActionPersist
	// ActionAck: acknowledge Version to its source. Confirmed tells whether its canary has passed.
	ActionAck
	// ActionNack: reject Version at its source, with a Reason.
	ActionNack
	// ActionSuperseded: Version was replaced by a newer one while it was pending; its source gets no answer.
	ActionSuperseded
)

var actionNames = [...]string{
	"validate", "apply", "start canary", "stop canary", "roll back", "persist", "ack", "nack", "superseded",
}

// String returns the action's name for people.
func (a Action) String() string { return actionNames[a] }

// Command is one action with its operands. Action tells which of the other fields are set.
type Command struct {
	Action    Action
	Version   Version
	Target    LayeredVersion
	Previous  LayeredVersion
	Confirmed bool
	Reason    string
}
