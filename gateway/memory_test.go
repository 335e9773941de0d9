package gateway_test

import (
	"testing"

	"github.com/hibiscusstair/hibiscusstair/gateway"
)

// Guards against bounds for slow readers that cannot hold, and against a check of deployments
// that do not use them.
func TestCheckMemory(t *testing.T) {
	for _, c := range []struct {
		megabytes   int64
		loadControl bool
		valid       bool
	}{{184, true, true}, {536, true, true}, {0, true, true}, {150, true, false}, {12, true, false}, {150, false, true}} {
		err := gateway.Settings{LoadControl: c.loadControl, MemoryBytes: c.megabytes << 20}.CheckMemory()
		if (err == nil) != c.valid {
			t.Errorf("%d MB, load control %t: %v", c.megabytes, c.loadControl, err)
		}
	}
}
