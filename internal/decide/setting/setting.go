// Package setting has the error that decision packages return for an invalid setting. Operators see it as it is,
// below the key of the component in the configuration.
package setting

// Error names an invalid setting.
type Error struct {
	Component string // whose setting it is, by the name that operators know; empty if the caller adds it
	Key       string // of the setting, within the component
	Reason    string // why it is invalid, and what is valid
}

// Error returns the component, the key and the reason, separated by colons.
func (e *Error) Error() string {
	text := e.Key + ": " + e.Reason
	if e.Component != "" {
		text = e.Component + ": " + text
	}
	return text
}
