package peers

import (
	"github.com/fxamacker/cbor/v2"

	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/coordination"
)

const (
	// maxMessageBytes is the largest size of a received message.
	maxMessageBytes = 64 << 10
	// maxCollectionItems is the largest number of items of an array or a map in a received message.
	maxCollectionItems = 4096
	// maxNestingDepth is the largest depth of nested arrays and maps in a received message.
	maxNestingDepth = 16
)

// envelope is the encoded form of a message, with its sender and recipient. If Consensus is set, Message is ignored.
// Its tags are the keys on the wire, which all builds share.
type envelope struct {
	From      string               `cbor:"1,keyasint"`
	To        string               `cbor:"2,keyasint"`
	Message   coordination.Message `cbor:"3,keyasint"`
	Consensus *consensus.Message   `cbor:"4,keyasint,omitempty"`
}

// The options are constant and valid, so EncMode and DecMode return no errors.
var (
	encMode, _ = cbor.EncOptions{Sort: cbor.SortNone, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	decMode, _ = cbor.DecOptions{
		MaxArrayElements: maxCollectionItems,
		MaxMapPairs:      maxCollectionItems,
		MaxNestedLevels:  maxNestingDepth,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
)

// Encode returns the encoded form of a message from one instance to another. Simulations use it for the message's size.
func Encode(from, to string, m coordination.Message) ([]byte, error) {
	return encMode.Marshal(envelope{From: from, To: to, Message: m})
}

// decode decodes a received message; ok is false if it is malformed or too large.
func decode(encoded []byte) (e envelope, ok bool) {
	if len(encoded) > maxMessageBytes || decMode.Unmarshal(encoded, &e) != nil {
		return envelope{}, false
	}
	return e, true
}
