//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Names, sizes and times of the case bannedTenant.
const (
	boardAccount = "board"
	boardKey     = "key-board"
	bannedDay    = 50 * time.Second
	// boardPause and otherPause are the times between two requests of the tenant that asks for
	// one thing, and of the other one. The first has 0.27 of the requests (hot_key: 0.28).
	boardPause  = 10 * time.Millisecond
	otherPause  = 3700 * time.Microsecond
	lookupWork  = 60 * time.Millisecond
	lookupLimit = 2 * time.Second
	crashTime   = 1200 * time.Millisecond // for_s
	boardTarget = "/lookup/board"
)

// bannedTenant crashes all engines of the plain service at the same moment, while a tenant asks
// for the same thing again and again. Rule Starved: no tenant's requests are served less than a
// quarter as often as all.
func bannedTenant(s setting) (bool, error) {
	f, err := startStore(s.rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	f.tenants = map[string]string{boardAccount: boardKey}
	kept := &copies{kept: make(map[string]time.Time)}
	engines := make([]*engine, 3)
	starts := 0
	start := func(i int, address string) error {
		starts++
		e, err := startEngine(f, kept, fmt.Sprintf("i-%d", starts), plainService, zones[i], address, time.Now().UnixMilli())
		if err == nil {
			e.workTime = lookupWork
			engines[i] = e
		}
		return err
	}
	for i := range engines {
		if err := start(i, ""); err != nil {
			return false, err
		}
	}
	f.putManifest(1, []route{{
		Name: "lookup", Host: host, Prefix: "/lookup/", Type: "idempotent", TimeoutMS: 1000, TargetMS: 300, Priority: 2, Service: plainService, MaxAttempts: 2,
	}})
	if err := f.startInstances(s, 3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	type count struct{ sent, served atomic.Int64 }
	var board, others count
	var lastBoard atomic.Int64 // when the tenant was last served, in milliseconds from the beginning
	begin := time.Now()
	var callers sync.WaitGroup
	end := begin.Add(bannedDay)
	callers.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			callers.Go(func() {
				others.sent.Add(1)
				attempt := fmt.Sprintf("%016x", 0xf00000+i)
				if sendPlain(f.instances[i%len(f.instances)], http.MethodGet, attempt, fmt.Sprintf("/lookup/order-%d", i), lookupLimit).complete {
					others.served.Add(1)
				}
			})
			time.Sleep(otherPause)
		}
	})
	callers.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			callers.Go(func() {
				board.sent.Add(1)
				attempt := fmt.Sprintf("%016x", 0x1f00000+i)
				if sendPlainAs(f.instances[i%len(f.instances)], boardKey, http.MethodGet, attempt, boardTarget, lookupLimit).complete {
					board.served.Add(1)
					lastBoard.Store(time.Since(begin).Milliseconds())
				}
			})
			time.Sleep(boardPause)
		}
	})
	time.Sleep(time.Second)
	if s.trouble {
		// The crash comes at a moment at which each of the engines works on the polled lookup.
		for !engines[0].isAmid(boardTarget) || !engines[1].isAmid(boardTarget) || !engines[2].isAmid(boardTarget) {
			if time.Now().After(end) {
				return false, errors.New("the lookup was never at work at all engines")
			}
			time.Sleep(time.Millisecond)
		}
		crashed := append([]*engine(nil), engines...)
		var exits sync.WaitGroup
		for _, e := range crashed {
			exits.Go(func() { e.exit(false) })
		}
		exits.Wait()
		time.Sleep(crashTime)
		for i, e := range crashed {
			if err := start(i, e.address); err != nil {
				return false, err
			}
			f.store.Delete("servers", e.id)
		}
		s.rec.line("all engines of the service are back")
	}
	callers.Wait()
	if others.served.Load() == 0 {
		return false, errors.New("nothing was served")
	}
	boardShare := float64(board.served.Load()) / float64(board.sent.Load())
	allShare := float64(board.served.Load()+others.served.Load()) / float64(board.sent.Load()+others.sent.Load())
	text := fmt.Sprintf("served: %d of %d requests of tenant %s (%.3f), the last after %.1f s of %.0f s; %d of %d of the other tenant; of all requests %.3f",
		board.served.Load(), board.sent.Load(), boardAccount, boardShare, float64(lastBoard.Load())/1000, bannedDay.Seconds(),
		others.served.Load(), others.sent.Load(), allShare)
	s.rec.line("%s", text)
	fmt.Println(text)
	return boardShare < starvedShare*allShare, nil
}
