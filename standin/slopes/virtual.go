package main

import (
	"fmt"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/membership/membershiptest"
)

// One-way delays of the modelled network, and the random part added to each.
const (
	domainDelay = time.Millisecond
	regionDelay = 2 * time.Millisecond
	farDelay    = 80 * time.Millisecond
	jitter      = 20 * time.Millisecond
)

const (
	spreadLimit   = time.Minute
	restWindow    = 5 * time.Second
	rollingHours  = 1
	partedTime    = time.Minute
	partedMost    = 1000 // nodes; each ends up with a table of its own
	rollingWindow = 10 * time.Second
)

// newVirtual returns a fleet of the target's shape in which all know each other.
func newVirtual(n int, loss float64) *membershiptest.Fleet {
	f := membershiptest.New(membershiptest.Options{
		Nodes:    n,
		Domains:  min(targetDomains, n),
		Regions:  targetRegions,
		Services: targetServices,
		Seed:     1,
		Joined:   true,
	})
	f.Delay = delay
	f.Jitter = jitter
	f.Loss = loss
	f.Run(2 * time.Second)
	return f
}

func delay(from, to *membershiptest.Node) time.Duration {
	switch {
	case from.Instance.FailureDomain == to.Instance.FailureDomain:
		return domainDelay
	case from.Instance.Region == to.Instance.Region:
		return regionDelay
	}
	return farDelay
}

func measureSpreads(o options, r *report) error {
	for _, n := range o.sizes {
		for _, loss := range []float64{0, 0.05} {
			measureSpread(newVirtual(n, loss), n, fmt.Sprintf(" loss %.0f%%", loss*100), r)
		}
	}
	return nil
}

func measureLostDomains(o options, r *report) error {
	for _, n := range o.sizes {
		measureLostDomain(n, r)
	}
	return nil
}

func measureParteds(o options, r *report) error {
	for _, n := range o.sizes {
		if n <= partedMost {
			measureParted(n, r)
		}
	}
	return nil
}

func measureRollings(o options, r *report) error {
	for _, n := range o.sizes {
		measureRolling(n, r)
	}
	return nil
}

// measureSpread measures the traffic at rest and the time for each kind of news.
func measureSpread(f *membershiptest.Fleet, n int, label string, r *report) {
	start := time.Now()
	r.add("bytes a second at rest"+label, n, meanBytes(f, restWindow), "B/s sent")
	real := time.Since(start)
	r.add("processor at rest with harness"+label, n, real.Seconds()/restWindow.Seconds()/float64(n)*100, "% of a core a node")

	f.SetState(1, fleet.Draining)
	spread(f, r, "target drains"+label, n, reached(f, f.Nodes[1].Instance.ID, membershiptest.NoNewCalls))
	f.Kill(2)
	spread(f, r, "node dies"+label, n, reached(f, f.Nodes[2].Instance.ID, membershiptest.Dead))
	version := f.Platform.Put([]byte("document"))
	spread(f, r, "configuration"+label, n, func() (int, int) { return f.CountInForce(version) })
}

// measureLostDomain loses one failure domain at once, then spreads news among the
// rest.
func measureLostDomain(n int, r *report) {
	f := newVirtual(n, 0)
	lost := f.Nodes[0].Instance.FailureDomain
	killed := 0
	for i, node := range f.Nodes {
		if node.Instance.FailureDomain == lost {
			f.Kill(i)
			killed++
		}
	}
	r.add("nodes of a failure domain", n, float64(killed), "nodes")
	clearBytes(f)
	began := f.Now
	spread(f, r, "failure domain lost", n, func() (int, int) { return f.CountWithLive(n - killed) })
	r.add("bytes a second while a domain is lost", n, bytesSince(f, f.Now.Sub(began)), "B/s sent")
	version := f.Platform.Put([]byte("document"))
	spread(f, r, "configuration with a domain gone", n, func() (int, int) { return f.CountInForce(version) })
}

// measureParted cuts one region off for partedTime and lets it meet the others again.
func measureParted(n int, r *report) {
	f := newVirtual(n, 0)
	region := f.Nodes[0].Instance.Region
	inside := 0
	for _, node := range f.Nodes {
		if node.Instance.Region == region {
			inside++
		}
	}
	f.Partitioned = func(a, b *membershiptest.Node) bool {
		return (a.Instance.Region == region) != (b.Instance.Region == region)
	}
	spread(f, r, "region parted, known outside", n, func() (int, int) {
		yes, _ := f.CountWithLive(n - inside)
		return yes, n - inside - yes
	})
	clearBytes(f)
	f.Run(partedTime)
	r.add("bytes a second while a region is parted", n, bytesSince(f, partedTime), "B/s sent")
	f.Partitioned = nil
	clearBytes(f)
	began := f.Now
	spread(f, r, "region met", n, func() (int, int) { return f.CountWithLive(n) })
	r.add("bytes a second while regions meet", n, bytesSince(f, f.Now.Sub(began)), "B/s sent")
}

// measureRolling replaces nodes at the rate that replaces all in rollingHours.
func measureRolling(n int, r *report) {
	f := newVirtual(n, 0)
	clearBytes(f)
	gap := time.Duration(float64(rollingHours*time.Hour) / float64(n))
	replaced := 0
	for passed := time.Duration(0); passed < rollingWindow; passed += gap {
		i := replaced
		f.Leave(i)
		f.Run(min(gap, rollingWindow) / 2)
		f.Kill(i)
		f.Restart(i)
		f.Run(min(gap, rollingWindow) / 2)
		replaced++
	}
	r.add("bytes a second of a rolling restart", n, bytesSince(f, time.Duration(replaced)*min(gap, rollingWindow)), "B/s sent")
}

// reached returns a count of the nodes whose tables satisfy accept.
func reached(f *membershiptest.Fleet, id fleet.InstanceID, accept func(fleet.Instance, bool) bool) func() (int, int) {
	return func() (int, int) { return f.CountViews(id, accept) }
}

// spread lets time pass until all nodes are reached, and adds the times of half of
// them and of the last one.
func spread(f *membershiptest.Fleet, r *report, name string, n int, count func() (yes, no int)) {
	start := f.Now
	half := time.Duration(-1)
	for f.Now.Sub(start) < spreadLimit {
		f.Run(membership.TickInterval / 2)
		yes, no := count()
		if half < 0 && yes >= no {
			half = f.Now.Sub(start)
		}
		if no == 0 {
			r.add(name+" half", n, half.Seconds(), "s")
			r.add(name+" last", n, f.Now.Sub(start).Seconds(), "s")
			return
		}
	}
	yes, no := count()
	r.add(name+" missing after "+spreadLimit.String(), n, float64(no)/float64(yes+no)*100, "% of nodes")
}

func clearBytes(f *membershiptest.Fleet) {
	for _, node := range f.Nodes {
		node.BytesSent = 0
	}
}

// meanBytes lets time pass and returns what a node sent a second, headers included.
func meanBytes(f *membershiptest.Fleet, d time.Duration) float64 {
	clearBytes(f)
	f.Run(d)
	return bytesSince(f, d)
}

func bytesSince(f *membershiptest.Fleet, d time.Duration) float64 {
	var sum uint64
	for _, node := range f.Nodes {
		sum += node.BytesSent
	}
	return float64(sum) / d.Seconds() / float64(len(f.Nodes))
}
