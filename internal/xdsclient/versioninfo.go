package xdsclient

import (
	"fmt"
	"strconv"
	"strings"

	"dunlinsail/internal/decide/rollout"
)

// maxEpochLength is the largest length of an epoch in bytes.
const maxEpochLength = 64

// maxQuotedLength is the length in bytes to which texts from the control plane are truncated in errors.
const maxQuotedLength = 80

// ParseVersionInfo parses a version_info of the form NUMBER or EPOCH/NUMBER, for example "17" or "epoch/17". A
// control plane that restarts its numbers uses a new epoch.
func ParseVersionInfo(text string) (rollout.ID, error) {
	epoch := ""
	numberText := text
	if slash := strings.LastIndexByte(text, '/'); slash >= 0 {
		epoch = text[:slash]
		numberText = text[slash+1:]
		if epoch == "" {
			return rollout.ID{}, fmt.Errorf("version_info %q: the epoch before / is empty", text)
		}
	}
	number, err := strconv.ParseUint(numberText, 10, 64)
	if err != nil || strconv.FormatUint(number, 10) != numberText {
		return rollout.ID{}, fmt.Errorf("version_info %q is neither NUMBER nor EPOCH/NUMBER", truncate(text))
	}
	isInvisible := func(r rune) bool { return r <= ' ' || r > '~' }
	if len(epoch) > maxEpochLength || strings.ContainsFunc(epoch, isInvisible) {
		const format = "version_info %q: an epoch is at most %d visible ASCII characters"
		return rollout.ID{}, fmt.Errorf(format, truncate(text), maxEpochLength)
	}
	return rollout.ID{Source: rollout.SourceControlPlane, Epoch: epoch, Number: number}, nil
}

// FormatVersionInfo returns the version_info of a version of the control plane, which ParseVersionInfo parses.
func FormatVersionInfo(id rollout.ID) string {
	if id.Epoch == "" {
		return strconv.FormatUint(id.Number, 10)
	}
	return id.Epoch + "/" + strconv.FormatUint(id.Number, 10)
}

// truncate shortens a text from the control plane to maxQuotedLength for an error.
func truncate(text string) string {
	if len(text) > maxQuotedLength {
		return text[:maxQuotedLength] + "..."
	}
	return text
}
