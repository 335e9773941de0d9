//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and times of the case otherWriter.
const (
	writerDay    = 40 * time.Second
	writerAt     = 2 * time.Second // when the other writer writes its entries
	writerPause  = 100 * time.Millisecond
	starvedShare = 0.25
)

// otherWriter lets another writer register the addresses of the plain service's engines under a
// service of its own, which no manifest names. Rule Starved: no kind of request is served less
// than a quarter as often as all requests.
func otherWriter(s setting) (bool, error) {
	f, err := startStore(s.rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	kept := &copies{kept: make(map[string]time.Time)}
	var plain []*engine
	for i := range 3 {
		e, err := startEngine(f, kept, fmt.Sprintf("i-%d", i+1), plainService, zones[i], "", time.Now().UnixMilli())
		if err != nil {
			return false, err
		}
		plain = append(plain, e)
		if _, err := startEngine(f, kept, fmt.Sprintf("i-%d", i+4), modelService, zones[i], "", time.Now().UnixMilli()); err != nil {
			return false, err
		}
	}
	f.putManifest(1, []route{
		{Name: "order", Host: host, Prefix: "/order/", Type: "non_idempotent", TimeoutMS: 1200, TargetMS: 120, Priority: 2, Service: plainService, MaxAttempts: 1},
		{
			Name: "stream", Host: host, Prefix: "/stream/", Type: "streaming", TimeoutMS: int(streamLimit.Milliseconds()), TargetMS: 4500, GapMS: 700,
			Priority: 1, Service: modelService, MaxAttempts: 5, Resumable: true, Sticky: true,
		},
	})
	if err := f.startInstances(s, 3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var orders, ordersServed, streams, streamsServed atomic.Int64
	statuses := make(map[int]int)
	var mu sync.Mutex
	begin := time.Now()
	var callers sync.WaitGroup
	written := false
	for i := 0; time.Since(begin) < writerDay; i++ {
		if s.trouble && !written && time.Since(begin) > writerAt {
			written = true
			for n, e := range plain {
				f.store.Put("servers", fmt.Sprintf("agent-%d", n+1), map[string]any{
					"service": "host-agent", "address": e.address, "zone": e.zone, "version": "v7", "slots": 1, "state": "ready",
					"sequence": 1, "born": time.Now().UnixMilli(),
				})
			}
			s.rec.line("another writer has registered the three addresses of %s under the service host-agent", plainService)
		}
		in := f.instances[i%len(f.instances)]
		callers.Go(func() {
			o := sendPlain(in, http.MethodPost, fmt.Sprintf("%016x", 0xd0000+i), "/order/x", 1200*time.Millisecond)
			orders.Add(1)
			if o.complete {
				ordersServed.Add(1)
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[o.status]++
			if !o.complete {
				s.rec.line("order %s: status %d, error %v", o.attempt, o.status, o.err)
			}
		})
		callers.Go(func() {
			streams.Add(1)
			if sendStream(in, fmt.Sprintf("%016x", 0xe0000+i), "/stream/x", shortEvents, streamLimit).complete {
				streamsServed.Add(1)
			}
		})
		time.Sleep(writerPause)
	}
	callers.Wait()
	orderShare := float64(ordersServed.Load()) / float64(orders.Load())
	allShare := float64(ordersServed.Load()+streamsServed.Load()) / float64(orders.Load()+streams.Load())
	text := fmt.Sprintf("served: %d of %d orders (%.3f), %d of %d streams; of all requests %.3f; statuses of orders %v",
		ordersServed.Load(), orders.Load(), orderShare, streamsServed.Load(), streams.Load(), allShare, statuses)
	s.rec.line("%s", text)
	fmt.Println(text)
	return orderShare < starvedShare*allShare, nil
}
