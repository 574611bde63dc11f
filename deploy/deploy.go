// Package deploy holds the files that ship, for programs that need them where the repository is not.
package deploy

import _ "embed"

// Daemon is dunlinsaild.toml.
//
//go:embed dunlinsaild.toml
var Daemon []byte
