package peers

import (
	"github.com/fxamacker/cbor/v2"

	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/coordination"
)

const (
	// maxMessageBytes is the maximum encoded size of a received message. Larger messages are malformed.
	maxMessageBytes = 64 << 10
	// maxCollectionItems is the maximum number of items in an array or a map of a received message.
	maxCollectionItems = 4096
	// maxNestingDepth is the maximum depth of nested arrays and maps in a received message.
	maxNestingDepth = 16
)

// envelope is a message as it is encoded, with its sender and recipient. If Consensus is set, Message is ignored.
// The tags are the CBOR map keys on the wire, which are the same in all builds.
type envelope struct {
	From      string               `cbor:"1,keyasint"`
	To        string               `cbor:"2,keyasint"`
	Message   coordination.Message `cbor:"3,keyasint"`
	Consensus *consensus.Message   `cbor:"4,keyasint,omitempty"`
}

// encMode and decMode are the CBOR encoder and decoder of envelopes. Their constructors return no errors, because
// the options are constant and valid.
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

// Encode returns the encoded form of a coordination message from one instance to another. Simulations use it to
// find the size of a message.
func Encode(from, to string, m coordination.Message) ([]byte, error) {
	return encMode.Marshal(envelope{From: from, To: to, Message: m})
}

// decode decodes a received message. ok is false if the message is malformed or too large.
func decode(encoded []byte) (e envelope, ok bool) {
	if len(encoded) > maxMessageBytes || decMode.Unmarshal(encoded, &e) != nil {
		return envelope{}, false
	}
	return e, true
}
