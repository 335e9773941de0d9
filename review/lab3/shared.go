//go:build review

package main

import (
	"sync"
	"syscall"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// sharedPart is the part that all prompts begin with, 200 tokens as on the sheet.
	sharedPart = "5c1e07a2:200"
	// promptTokens and draftEvents are the size of the drafts, those of the sheet.
	promptTokens = 8000
	draftEvents  = 130
	// groupInterval is the time between two groups of drafts, and groupSize the number of drafts in
	// one: the sheet has 4.7 drafts a second.
	groupInterval = 2560 * time.Millisecond
	groupSize     = 12
	// enginesPerZone is the number of engines in a zone on the sheet.
	enginesPerZone = 6
	// calmTime is the time before the final fault.
	calmTime = 20 * time.Second
	// crashAfterGroup is when the engines crash, after a group was sent. Reading a prompt takes a second.
	crashAfterGroup = 600 * time.Millisecond
	// crashAfterReturn is how long the processes are back at least, before the engines crash. They do
	// so crashCount times and are down for crashTime each time.
	crashAfterReturn = 4 * time.Second
	crashCount       = 4
	crashTime        = 1200 * time.Millisecond
	// downTime is how long the processes are down in the final fault.
	downTime = 1300 * time.Millisecond
	// recoverTime is recover-s of the settings, and judgedTime how long requests are sent after it.
	recoverTime = 12 * time.Second
	judgedTime  = 6 * time.Second
)

// draftResult is a draft with its answer.
type draftResult struct {
	sentAt time.Time
	answer answer
}

// served reports whether the draft was answered in full.
func (d draftResult) served() bool {
	return d.answer.err == nil && d.answer.status == 200 && d.answer.signature != ""
}

// sharedPrompt kills all processes, and crashes all engines once these are back, while the prompts of drafts
// are read that have their first part in common. When the engines are up again and recover-s is over,
// drafts have to be served.
func sharedPrompt(f *fleet, trouble bool) (bool, error) {
	log := &world.RequestLog{}
	engines, err := f.startEngines(log, enginesPerZone)
	if err != nil {
		return false, err
	}
	if err := f.start(len(zones)); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	var mu sync.Mutex
	var drafts []draftResult
	var group sync.WaitGroup
	began := time.Now()
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Until(began.Add(time.Duration(n) * groupInterval))):
			}
			for k := range groupSize {
				group.Go(func() {
					d := f.sendDraft(n*groupSize + k)
					mu.Lock()
					defer mu.Unlock()
					drafts = append(drafts, d)
				})
			}
		}
	})
	time.Sleep(calmTime)
	faultAt := time.Now()
	if trouble {
		if err := f.killAll(); err != nil {
			return false, err
		}
	}
	backAt := time.Now()
	time.Sleep(crashAfterReturn)
	groups := time.Since(began)/groupInterval + 1
	time.Sleep(time.Until(began.Add(groups*groupInterval + crashAfterGroup)))
	if trouble {
		if err := f.crashAll(engines); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(backAt.Add(recoverTime + judgedTime)))
	close(stop)
	sending.Wait()
	group.Wait()
	return f.judgeRecovery(drafts, faultAt, backAt), nil
}

// crashAll crashes all engines crashCount times, each time as soon as they are back.
func (f *fleet) crashAll(engines []*world.Endpoint) error {
	for range crashCount {
		var ids []string
		for _, e := range engines {
			ids = append(ids, e.Crash())
		}
		f.record.add("all engines crash", "engines", len(ids))
		time.Sleep(crashTime)
		for n, e := range engines {
			if err := e.Start(); err != nil {
				return err
			}
			e.Deregister(ids[n])
		}
		f.record.add("the engines are back")
	}
	return nil
}

// killAll kills all processes and starts them again.
func (f *fleet) killAll() error {
	for _, i := range f.instances {
		f.signal(i, syscall.SIGKILL)
	}
	for _, i := range f.instances {
		<-i.exited
	}
	time.Sleep(downTime)
	for _, i := range f.instances {
		if err := f.launch(i); err != nil {
			return err
		}
	}
	return nil
}

// judgeRecovery applies RECOVER: of the drafts sent later than recover-s after the processes were
// back, a quarter has to be served, if a quarter was before the final fault.
func (f *fleet) judgeRecovery(drafts []draftResult, faultAt, backAt time.Time) bool {
	var before, servedBefore, after, servedAfter int
	for _, d := range drafts {
		switch {
		case d.sentAt.Before(faultAt):
			before++
			if d.served() {
				servedBefore++
			}
		case d.sentAt.After(backAt.Add(recoverTime)):
			after++
			if d.served() {
				servedAfter++
			}
		}
	}
	f.record.add("result", "sent_before", before, "served_before", servedBefore, "sent_after_recovery", after, "served_after_recovery", servedAfter)
	return 4*servedBefore >= before && 4*servedAfter < after
}

// sendDraft sends a draft to one of the instances. All drafts begin with the same part.
func (f *fleet) sendDraft(n int) draftResult {
	i := f.instances[n%len(f.instances)]
	d := draftResult{sentAt: time.Now()}
	d.answer = f.call(i, f.protocol.draftText(n, promptTokens, draftEvents, sharedPart), limits[draft])
	f.record.addAt(d.sentAt, "draft", "number", n, "instance", i.Name, "status", d.answer.status, "bytes", len(d.answer.body),
		"ended_after", time.Since(d.sentAt).Round(time.Millisecond), "error", d.answer.err)
	return d
}
