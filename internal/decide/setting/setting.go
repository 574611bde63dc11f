// Package setting has the error of an invalid setting that the decision packages return.
package setting

// Error names an invalid setting.
type Error struct {
	Component string // whose setting it is, as operators know it; "" is not said
	Key       string // of the setting, below the component
	Reason    string
}

// Error returns the component, the key and the reason.
func (e *Error) Error() string {
	text := e.Key + ": " + e.Reason
	if e.Component != "" {
		text = e.Component + ": " + text
	}
	return text
}
