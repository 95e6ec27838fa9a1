// Package codec encodes as CBOR what the processes of the system send to each other and
// store on their disks.
//
// What is written must be readable. A message has one limit for both directions: Marshal
// refuses what Unmarshal would. Stored data, and results that stay within a process, have no
// limit of their own: what they hold was accepted before, and UnmarshalStored reads all that
// MarshalStored writes.
package codec

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// MaxElements limits the elements of one array and the pairs of one map in a message. A
// message of some megabytes that claims more would make its reader allocate a multiple of
// its size. All versions must have the same limit: members that read a command of the
// replicated log differently have different states.
const MaxElements = 131_072

// ErrTooLarge is returned for a message that its reader would refuse.
var ErrTooLarge = errors.New("the message has a list that is too long")

var (
	messages = mustDecoder(cbor.DecOptions{MaxArrayElements: MaxElements, MaxMapPairs: MaxElements})
	stored   = mustDecoder(cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32})
)

func mustDecoder(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(fmt.Sprintf("options of the decoder: %v", err))
	}
	return mode
}

// Marshal encodes a message. The error wraps ErrTooLarge if Unmarshal would refuse it.
func Marshal(v any) ([]byte, error) {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	// A list that is too long has an element of a byte at least for each place.
	if len(encoded) <= MaxElements {
		return encoded, nil
	}
	var arrays *cbor.MaxArrayElementsError
	var maps *cbor.MaxMapPairsError
	err = messages.Wellformed(encoded)
	if errors.As(err, &arrays) || errors.As(err, &maps) {
		return nil, fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	return encoded, err
}

// Unmarshal decodes a message.
func Unmarshal(data []byte, v any) error { return messages.Unmarshal(data, v) }

// MarshalStored encodes what is stored on a disk.
func MarshalStored(v any) ([]byte, error) { return cbor.Marshal(v) }

// UnmarshalStored decodes what MarshalStored has encoded.
func UnmarshalStored(data []byte, v any) error { return stored.Unmarshal(data, v) }
