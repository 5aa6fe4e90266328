package freshness

import (
	"testing"
	"time"
)

// TestFirstConfigurationIsNotRecent guards against 401 for a key that was added long ago: a process
// that has just started, cut off from the store, may get an old configuration from a peer.
func TestFirstConfigurationIsNotRecent(t *testing.T) {
	tracker := NewTracker(5*time.Second, false, 1)
	now := time.Minute
	tracker.InForce(now, 7)
	if tracker.IsRecent(now) {
		t.Error("the first configuration of a process is taken for a recent one")
	}
	tracker.InForce(now+time.Second, 8)
	if !tracker.IsRecent(now + 2*time.Second) {
		t.Error("a configuration that replaced another isn't recent")
	}
	if tracker.IsRecent(now + 7*time.Second) {
		t.Error("a configuration is recent after the limit")
	}
}
