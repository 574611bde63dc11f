package peers

import (
	"github.com/fxamacker/cbor/v2"

	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/coordination"
)

const (
	// maxMessageBytes bounds a received message.
	maxMessageBytes = 64 << 10
	// maxItems bounds each array and map in it.
	maxItems = 4096
	// maxNesting bounds its depth.
	maxNesting = 16
)

// envelope is a message with its sender and recipient, as it is encoded. One of Message and Consensus is set; Consensus
// goes first. Its tags are the keys on the wire, which all builds share.
type envelope struct {
	From      string               `cbor:"1,keyasint"`
	To        string               `cbor:"2,keyasint"`
	Message   coordination.Message `cbor:"3,keyasint"`
	Consensus *consensus.Message   `cbor:"4,keyasint,omitempty"`
}

// The options are constant and valid, so there are no errors.
var (
	encoding, _ = cbor.EncOptions{Sort: cbor.SortNone, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	decoding, _ = cbor.DecOptions{
		MaxArrayElements: maxItems,
		MaxMapPairs:      maxItems,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
)

// Encode returns a message as it is sent from one instance to another, so that simulations know its size.
func Encode(from, to string, m coordination.Message) ([]byte, error) {
	return encoding.Marshal(envelope{From: from, To: to, Message: m})
}

// decode reads a received message; ok is false if it is malformed.
func decode(encoded []byte) (e envelope, ok bool) {
	if len(encoded) > maxMessageBytes || decoding.Unmarshal(encoded, &e) != nil {
		return envelope{}, false
	}
	return e, true
}
