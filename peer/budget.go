package peer

import "google.golang.org/protobuf/proto"

// fieldOverheadBytes is what an element of a repeated field takes in a message in
// addition to its own size: a tag and a length of up to two bytes.
const fieldOverheadBytes = 3

// ByteBudget is the number of bytes that are left of a message.
type ByteBudget int

// Take reports whether the element fits into the message, and takes its bytes if so.
func (b *ByteBudget) Take(element proto.Message) bool {
	size := ByteBudget(proto.Size(element) + fieldOverheadBytes)
	if size > *b {
		return false
	}
	*b -= size
	return true
}
