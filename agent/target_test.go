package agent

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/fleet"
)

func TestLastAppliedStateIsTheEffectiveOne(t *testing.T) {
	Convey("If the lease expires while the target announces itself, the last applied state is ready", t, func() {
		now := time.Unix(1000, 0)
		var mu sync.Mutex
		var applied []fleet.State
		expiring, announced := make(chan struct{}), make(chan struct{}, 8)
		lease := &target{now: func() time.Time { return now }, nodeReady: func() bool { return true }}
		lease.stateChanged = func(string, fleet.State) {}
		lease.apply = func(_ string, state fleet.State) {
			if state == fleet.Starting {
				close(expiring)
				select { // time for the announcement to be applied first
				case <-announced:
				case <-time.After(200 * time.Millisecond):
				}
			}
			mu.Lock()
			applied = append(applied, state)
			mu.Unlock()
			announced <- struct{}{}
		}
		announcement := TargetAnnouncement{Service: "shop", Address: "127.0.0.1:1"}
		So(lease.announce(announcement, fleet.Ready), ShouldBeNil)
		<-announced
		now = now.Add(2 * targetLease)
		var wait sync.WaitGroup
		wait.Go(lease.expire)
		<-expiring
		So(lease.announce(announcement, fleet.Ready), ShouldBeNil)
		wait.Wait()
		So(applied, ShouldResemble, []fleet.State{fleet.Ready, fleet.Starting, fleet.Ready})
	})
}

func TestTargetIsNotReadyBeforeItsNode(t *testing.T) {
	Convey("A ready target takes no calls before its node is ready", t, func() {
		nodeReady := false
		var applied []fleet.State
		local := &target{
			now: time.Now, nodeReady: func() bool { return nodeReady },
			apply:        func(_ string, state fleet.State) { applied = append(applied, state) },
			stateChanged: func(string, fleet.State) {},
		}
		So(local.announce(TargetAnnouncement{Service: "shop", Address: "127.0.0.1:1"}, fleet.Ready), ShouldBeNil)
		_, takes := local.addressOf("shop")
		So(takes, ShouldBeFalse)
		nodeReady = true
		local.expire()
		_, takes = local.addressOf("shop")
		So(takes, ShouldBeTrue)
		So(applied, ShouldResemble, []fleet.State{fleet.Starting, fleet.Ready})
	})
}

func TestReappliedStateIsNotStale(t *testing.T) {
	Convey("If a target becomes ready while a configuration comes into force, the last applied state is ready", t, func() {
		var nodeReady atomic.Bool
		var mu sync.Mutex
		var applied []fleet.State
		configuring, ready := make(chan struct{}), make(chan struct{})
		local := &target{now: time.Now, nodeReady: nodeReady.Load, stateChanged: func(string, fleet.State) {}}
		local.apply = func(_ string, state fleet.State) {
			if state == fleet.Starting && len(applied) > 0 {
				close(configuring)
				select { // time for the new state to be applied first
				case <-ready:
				case <-time.After(200 * time.Millisecond):
				}
			}
			mu.Lock()
			defer mu.Unlock()
			applied = append(applied, state)
			if state == fleet.Ready {
				close(ready)
			}
		}
		So(local.announce(TargetAnnouncement{Service: "shop", Address: "127.0.0.1:1"}, fleet.Ready), ShouldBeNil)
		var wait sync.WaitGroup
		wait.Go(local.reapply)
		<-configuring
		nodeReady.Store(true)
		local.expire()
		wait.Wait()
		So(applied, ShouldResemble, []fleet.State{fleet.Starting, fleet.Starting, fleet.Ready})
	})
}
