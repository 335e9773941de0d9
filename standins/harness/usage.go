package harness

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// ticksPerSecond is USER_HZ: the number of clock ticks per second in which
	// Linux reports CPU times in /proc.
	ticksPerSecond = 100
	// userTimeField and systemTimeField are the indexes of the CPU times in
	// /proc/PID/stat, counted from the field after the command name.
	userTimeField   = 11
	systemTimeField = 12
)

// Usage is the resource usage of all instances at a time. CPU and ControlBytes
// count from the start of the instances.
type Usage struct {
	At  time.Time
	CPU time.Duration
	// RSSBytes is the current resident memory.
	RSSBytes uint64
	// ControlBytes counts the bytes that the store proxy forwarded and those of
	// the peer messages in the instances' metrics.
	ControlBytes uint64
}

// Usage returns the sum of the usage of all instances.
func (f *Fleet) Usage(ctx context.Context) (Usage, error) {
	u := Usage{At: time.Now()}
	for _, i := range f.Instances() {
		cpu, rss, err := processUsage(i.PID())
		if err != nil {
			return u, err
		}
		u.CPU += cpu
		u.RSSBytes += rss
		bytes, err := f.peerBytes(ctx, i.Spec.ID)
		if err != nil {
			return u, err
		}
		u.ControlBytes += bytes
	}
	for _, bytes := range f.StoreProxy.Stats().Bytes {
		u.ControlBytes += bytes.Up + bytes.Down
	}
	return u, nil
}

// peerBytes returns the sum of the instance's byte counters of peer messages.
func (f *Fleet) peerBytes(ctx context.Context, instanceID string) (uint64, error) {
	metrics, err := f.Metrics(ctx, instanceID)
	if err != nil {
		return 0, err
	}
	var total uint64
	for name, value := range metrics {
		if strings.HasPrefix(name, "hibiscusstair_peer_") && strings.Contains(name, "bytes") {
			total += uint64(value)
		}
	}
	return total, nil
}

// processUsage returns the CPU time and the resident memory of a process.
func processUsage(pid int) (cpu time.Duration, rss uint64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// The command name may contain spaces; the fields after it don't.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) <= systemTimeField {
		return 0, 0, errors.New("harness: /proc/PID/stat has too few fields")
	}
	user, _ := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTimeField], 10, 64)
	cpu = time.Duration(user+system) * time.Second / ticksPerSecond
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, err
	}
	var size, resident uint64
	if _, err := fmt.Sscan(string(statm), &size, &resident); err != nil {
		return 0, 0, err
	}
	return cpu, resident * uint64(os.Getpagesize()), nil
}
