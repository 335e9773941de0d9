package gateway

import (
	"fmt"

	"github.com/hibiscusstair/hibiscusstair/forward"
)

// fixedMemoryBytes is the memory of an instance without requests: the program, the
// configuration, the registrations, the messages between instances and the idle connections.
const fixedMemoryBytes = 48 << 20

// socketBufferBytes returns the size of the kernel's buffers of a connection to an endpoint; 0
// leaves it to the kernel.
func (s Settings) socketBufferBytes() int {
	if s.LoadControl {
		return forward.SocketBufferBytes
	}
	return 0
}

// CheckMemory returns an error if the memory is too small for its fixed parts. The bounds of
// what is held for slow callers and engines cannot hold then.
func (s Settings) CheckMemory() error {
	if !s.LoadControl || s.MemoryBytes <= 0 {
		return nil
	}
	if least := forward.MinMemoryBytes(); s.MemoryBytes < least {
		return fmt.Errorf("memory of %d MB: the parts for request bodies, responses and events need at least %d MB", s.MemoryBytes>>20, (least+1<<20-1)>>20)
	}
	free := int64(float64(s.MemoryBytes) * (memoryLimitFraction - forward.BoundedMemoryFraction))
	if free < fixedMemoryBytes {
		return fmt.Errorf("memory of %d MB: requests and responses in progress leave %d MB to the rest of the instance, which takes %d MB",
			s.MemoryBytes>>20, free>>20, fixedMemoryBytes>>20)
	}
	return nil
}
