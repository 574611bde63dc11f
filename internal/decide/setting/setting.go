// Package setting defines the error that decision packages return for an invalid setting. Operators see its
// text unchanged, below the key of the component in the configuration.
package setting

// Error reports an invalid setting.
type Error struct {
	Component string // component of the setting, as named in the configuration; empty if the caller adds it
	Key       string // key of the setting within the component
	Reason    string // why the value is invalid, and which values are valid
}

// Error returns the component, the key and the reason, separated by colons.
func (e *Error) Error() string {
	text := e.Key + ": " + e.Reason
	if e.Component != "" {
		text = e.Component + ": " + text
	}
	return text
}
