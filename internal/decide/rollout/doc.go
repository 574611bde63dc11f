// Package rollout decides which version of the configuration an instance runs: which of the versions offered by the
// control plane (xDS management server) or read from the local file is validated, applied, rejected, confirmed or
// rolled back.
//
// StateMachine is deterministic and does no I/O: its host calls it with events and their instants, one at a time, and
// executes the commands that it returns, in order. The package handles names and digests of versions only; it must not
// import packages that read, apply or transport their content.
//
// One version is processed at a time:
//
//	idle -> validating -> applying -> canary -> idle, persisted as the last known good
//	            |            |          |
//	            +------------+----------+--> rejected (NACK), and rolled back if it was applied
//
// A version that is offered in the meantime is pending, at most one of each source: a newer one supersedes it, so that
// a burst of versions costs one validation each Settings.MinValidationInterval. A canary ends early only for a version
// with the Rollback flag or one of the local file.
//
// A version is applied completely or not at all, and never after a newer one of its epoch unless it has the Rollback
// flag. A version number identifies one content: another content under the same number is rejected. Numbers may start
// again in a new epoch, after the control plane has lost its counter; versions of an abandoned epoch are rejected.
package rollout
