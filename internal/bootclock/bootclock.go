// Package bootclock reads the clock that counts the time since the machine was started, that of
// a suspend included. The steady clock of package time stands still in a suspend, and the
// wall clock may be set; so neither shows how old something is that must not be used for too
// long.
package bootclock

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started. If the clock can't be read, it returns
// the largest value, so that all that was learned before is found too old.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return math.MaxInt64
	}
	return time.Duration(t.Nano())
}
