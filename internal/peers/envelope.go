package peers

import (
	"github.com/fxamacker/cbor/v2"

	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/coordination"
)

// envelope is a word as it is carried.
type envelope struct {
	From    string               `cbor:"1,keyasint"`
	To      string               `cbor:"2,keyasint"`
	Message coordination.Message `cbor:"3,keyasint"`

	Consensus *consensus.Message `cbor:"4,keyasint,omitempty"`
}

var (
	encoding, _ = cbor.EncOptions{Sort: cbor.SortNone, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	decoding, _ = cbor.DecOptions{MaxArrayElements: maxItems, MaxMapPairs: maxItems, MaxNestedLevels: 16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
)

// Encode returns the form of a word.
func Encode(from, to string, w coordination.Message) ([]byte, error) {
	return encoding.Marshal(envelope{From: from, To: to, Message: w})
}
