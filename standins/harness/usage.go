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
	// ticksPerSecond is the unit of the CPU times in /proc on Linux.
	ticksPerSecond = 100
	// userField and systemField are the CPU times in /proc/PID/stat, counted
	// after the command's name.
	userField   = 11
	systemField = 12
)

// Usage is what all instances have used since their start.
type Usage struct {
	At  time.Time
	CPU time.Duration
	// RSSBytes is the memory that is resident now.
	RSSBytes uint64
	// ControlBytes passed to and from the store and to and from other instances.
	ControlBytes uint64
}

// Usage sums over all instances.
func (f *Fleet) Usage(ctx context.Context) (Usage, error) {
	u := Usage{At: time.Now()}
	for _, i := range f.Instances() {
		cpu, rss, err := procUsage(i.PID())
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

// peerBytes sums the counters of bytes of messages between instances.
func (f *Fleet) peerBytes(ctx context.Context, instance string) (uint64, error) {
	metrics, err := f.Metrics(ctx, instance)
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

func procUsage(pid int) (cpu time.Duration, rss uint64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// The name may contain blanks; the fields after it don't.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) <= systemField {
		return 0, 0, errors.New("harness: /proc/PID/stat is short")
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
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
