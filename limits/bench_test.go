package limits

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// benchCore returns a core that knows the demand of all accounts at the given
// number of peers.
func benchCore(accounts, peers int) (*Core, []api.AccountID) {
	config := &api.Config{Accounts: map[api.AccountID]api.Account{}}
	var ids []api.AccountID
	for i := range accounts {
		id := api.AccountID(fmt.Sprintf("a%05d", i))
		config.Accounts[id] = api.Account{ID: id, RequestsPerSecond: 1e6, TokensInFlight: 1e9}
		ids = append(ids, id)
	}
	core := NewCore(CoreOptions{Instance: "i1"})
	core.Step(time.Second, ConfigChanged{Config: config})
	core.Step(time.Second, FleetResized{Instances: 330})
	for _, id := range ids {
		var usage []PeerUsage
		for p := range peers {
			usage = append(usage, PeerUsage{Account: id, Instance: api.InstanceID(fmt.Sprintf("p%d", p)), Rate: 1, Version: 1})
		}
		core.Step(time.Second, PeerUsageReceived{Usage: usage})
	}
	return core, ids
}

// BenchmarkAdmit measures an admission and its release in the core.
func BenchmarkAdmit(b *testing.B) {
	for _, accounts := range []int{10, 13000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			core, ids := benchCore(accounts, 1)
			b.ReportAllocs()
			now := time.Second
			for i := range b.N {
				now += time.Microsecond
				request := api.AdmissionRequest{Account: ids[i%len(ids)], Priority: api.PriorityInteractive, Tokens: 1}
				core.Step(now, AdmissionRequested{ID: uint64(i + 1), Request: request})
				core.Step(now, AdmissionReleased{ID: uint64(i + 1)})
			}
		})
	}
}

// BenchmarkCollect measures the selection of the entries for one exchange.
func BenchmarkCollect(b *testing.B) {
	core, _ := benchCore(13000, 1)
	b.ReportAllocs()
	now := time.Second
	for range b.N {
		now += 250 * time.Millisecond
		core.Collect(now, atMost(64))
	}
}

// BenchmarkState reports the memory of 13,000 accounts with demand at four peers
// each.
func BenchmarkState(b *testing.B) {
	before := heap()
	core, _ := benchCore(13000, 4)
	for range b.N {
		core.Step(time.Second, Tick{})
	}
	b.ReportMetric(float64(heap()-before)/1e6, "MB")
	runtime.KeepAlive(core)
}

func heap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkRunnerAdmit measures an admission through the runner and its queue.
func BenchmarkRunnerAdmit(b *testing.B) {
	config := configWith(0, 1<<30)
	r, err := New(Options{Instance: "i1", Config: func() *api.Config { return config }})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.Run(ctx) }()
	request := api.AdmissionRequest{Account: testAccount, Priority: api.PriorityInteractive, Tokens: 1}
	b.ReportAllocs()
	for range b.N {
		admission, err := r.Admit(ctx, request)
		if err != nil {
			b.Fatal(err)
		}
		r.Release(admission)
	}
}
