// Package rollout decides which version of the configuration an instance runs. It decides when a version that is
// offered by the control plane (xDS management server) or read from the local file is validated, applied, confirmed,
// rejected or rolled back.
//
// StateMachine is deterministic and does no I/O: its host calls it with events and their instants, one at a time, and
// executes the returned commands in order. The package handles IDs and digests of versions only; it must not import
// packages that read, apply or transport their content.
//
// One version is processed at a time:
//
//	idle -> validating -> applying -> canary -> idle, persisted as the last known good
//	            |            |          |
//	            +------------+----------+--> rejected (NACK), and rolled back if it was applied
//
// A version that is offered while another one is processed becomes pending. At most one version of each source is
// pending: a newer one supersedes it, so that a burst of versions causes at most one validation per
// Settings.MinValidationInterval. A canary is stopped early only for a version with the Rollback flag or a version of
// the local file.
//
// A version is applied completely or not at all, and never after a newer version of the same epoch unless it has the
// Rollback flag. A version number identifies one content: another content under the same number is rejected. The
// control plane may restart its numbers in a new epoch after it has lost its counter; versions of an abandoned epoch
// are rejected.
package rollout
