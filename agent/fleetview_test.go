package agent

import (
	"testing"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
)

// TestOlderListNeverReplacesANewerOne starts a second refresh between the read and the
// use of a list. Without the lock the first refresh would use the older list last.
func TestOlderListNeverReplacesANewerOne(t *testing.T) {
	const overtakeTimeout = 100 * time.Millisecond // enough for a refresh that doesn't wait for the lock
	reading, proceed := make(chan struct{}), make(chan struct{})
	reads, used := 0, fleet.InstanceID("")
	view := &fleetView{
		read: func(string) []fleet.Instance {
			reads++
			if reads > 1 {
				return []fleet.Instance{{ID: "newer"}}
			}
			close(reading)
			<-proceed
			return []fleet.Instance{{ID: "older"}}
		},
		use: func(_ string, list []fleet.Instance) { used = list[0].ID },
	}
	first, second := make(chan struct{}), make(chan struct{})
	go func() { defer close(first); view.refresh([]string{"s"}) }()
	<-reading
	go func() { defer close(second); view.refresh([]string{"s"}) }()
	select {
	case <-second:
	case <-time.After(overtakeTimeout):
	}
	close(proceed)
	<-first
	<-second
	if used != "newer" {
		t.Errorf("the %s list is in use", used)
	}
}
