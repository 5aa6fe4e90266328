package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine was started, including the time for which it was
// suspended. Go's own steady clock stands still meanwhile.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists in all kernels that Go supports
	}
	return time.Duration(t.Nano())
}
