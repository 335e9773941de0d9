package balance_test

import (
	"fmt"
	"testing"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
)

// BenchmarkChooseWithOverflow measures a choice among 180 engines without and with zone overflow.
func BenchmarkChooseWithOverflow(b *testing.B) {
	for _, overflow := range []bool{false, true} {
		b.Run(fmt.Sprint("overflow=", overflow), func(b *testing.B) {
			core := newCore("i", 180)
			if overflow {
				core = newOverflowCore(180)
				core.SetZoneShares("llm", map[api.FailureDomain]float64{"d2": 0.3}, 0.3)
			}
			for range b.N {
				lease, _ := core.Choose(0, newRequest("s"))
				core.RecordResponse(0, lease)
				core.Release(0, lease, balance.Completed)
			}
		})
	}
}
