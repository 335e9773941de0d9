// Package bootclock reads a clock that keeps running while the process or the
// machine is suspended, so that timeouts and leases expire during a suspension
// and a lease holder notices it.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every Linux that Go supports.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Func is the type of Now, for code that takes the clock as an option.
type Func func() time.Duration
