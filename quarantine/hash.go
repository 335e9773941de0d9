package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// crashHash identifies the crash of one incarnation of an engine.
func crashHash(endpoint api.EndpointID, incarnation int64) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(endpoint))
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(incarnation)))
	return hash.Sum64()
}

func partsHash(parts []Part) uint64 {
	encoded := make([]byte, 0, 8*len(parts))
	for _, part := range parts {
		encoded = binary.LittleEndian.AppendUint64(encoded, uint64(part))
	}
	return xxhash.Sum64(encoded)
}
