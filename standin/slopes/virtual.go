package main

import (
	"fmt"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/membership/membershiptest"
)

// One-way delays of the modelled network within a failure domain, within a region and
// between regions, and the limit of the random delay that is added to each.
const (
	domainDelay      = time.Millisecond
	regionDelay      = 2 * time.Millisecond
	interRegionDelay = 80 * time.Millisecond
	jitter           = 20 * time.Millisecond
)

const (
	propagationTimeout   = time.Minute
	restWindow           = 5 * time.Second // time over which traffic at rest is measured
	rollingRestartHours  = 1
	partitionDuration    = time.Minute
	maxPartitionNodes    = 1000             // in a partition, each node builds a complete table of its own instead of using the shared base
	rollingRestartWindow = 10 * time.Second // part of the restart that is run
)

// newVirtualFleet returns a fleet in virtual time, of the shape of the modelled fleet, in
// which all nodes know each other. The network loses the given fraction of packets.
func newVirtualFleet(n int, loss float64) *membershiptest.Fleet {
	f := membershiptest.New(membershiptest.Options{
		Nodes:    n,
		Domains:  min(fleetDomains, n),
		Regions:  fleetRegions,
		Services: fleetServices,
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
	return interRegionDelay
}

func measurePropagations(o options, r *report) error {
	for _, n := range o.sizes {
		for _, loss := range []float64{0, 0.05} {
			measurePropagation(newVirtualFleet(n, loss), n, fmt.Sprintf(" loss %.0f%%", loss*100), r)
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

func measurePartitions(o options, r *report) error {
	for _, n := range o.sizes {
		if n <= maxPartitionNodes {
			measurePartition(n, r)
		}
	}
	return nil
}

func measureRollingRestarts(o options, r *report) error {
	for _, n := range o.sizes {
		measureRollingRestart(n, r)
	}
	return nil
}

// measurePropagation measures the traffic and processor time of a fleet at rest and the
// propagation time of each kind of update.
func measurePropagation(f *membershiptest.Fleet, n int, label string, r *report) {
	start := time.Now()
	r.add("bytes a second at rest"+label, n, measureByteRate(f, restWindow), "B/s sent")
	wallTime := time.Since(start)
	r.add("processor at rest with harness"+label, n, wallTime.Seconds()/restWindow.Seconds()/float64(n)*100, "% of a core a node")

	f.SetState(1, fleet.Draining)
	addPropagationTimes(f, r, "target drains"+label, n, viewCounter(f, f.Nodes[1].Instance.ID, membershiptest.NoNewCalls))
	f.Kill(2)
	addPropagationTimes(f, r, "node dies"+label, n, viewCounter(f, f.Nodes[2].Instance.ID, membershiptest.Dead))
	version := f.Platform.Put([]byte("document"))
	addPropagationTimes(f, r, "configuration"+label, n, func() (int, int) { return f.CountInForce(version) })
}

// measureLostDomain kills all nodes of one failure domain at the same time, then measures
// the propagation of a new configuration among the remaining nodes.
func measureLostDomain(n int, r *report) {
	f := newVirtualFleet(n, 0)
	lost := f.Nodes[0].Instance.FailureDomain
	killed := 0
	for i, node := range f.Nodes {
		if node.Instance.FailureDomain == lost {
			f.Kill(i)
			killed++
		}
	}
	r.add("nodes of a failure domain", n, float64(killed), "nodes")
	resetBytesSent(f)
	start := f.Now
	addPropagationTimes(f, r, "failure domain lost", n, func() (int, int) { return f.CountWithLive(n - killed) })
	r.add("bytes a second while a domain is lost", n, meanByteRate(f, f.Now.Sub(start)), "B/s sent")
	version := f.Platform.Put([]byte("document"))
	addPropagationTimes(f, r, "configuration with a domain gone", n, func() (int, int) { return f.CountInForce(version) })
}

// measurePartition partitions one region from the others for partitionDuration, then
// heals the partition.
func measurePartition(n int, r *report) {
	f := newVirtualFleet(n, 0)
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
	addPropagationTimes(f, r, "region parted, known outside", n, func() (int, int) {
		yes, _ := f.CountWithLive(n - inside)
		return yes, n - inside - yes
	})
	resetBytesSent(f)
	f.Run(partitionDuration)
	r.add("bytes a second while a region is parted", n, meanByteRate(f, partitionDuration), "B/s sent")
	f.Partitioned = nil
	resetBytesSent(f)
	start := f.Now
	addPropagationTimes(f, r, "region met", n, func() (int, int) { return f.CountWithLive(n) })
	r.add("bytes a second while regions meet", n, meanByteRate(f, f.Now.Sub(start)), "B/s sent")
}

// measureRollingRestart replaces nodes at the rate that replaces all of them within
// rollingRestartHours.
func measureRollingRestart(n int, r *report) {
	f := newVirtualFleet(n, 0)
	resetBytesSent(f)
	interval := time.Duration(float64(rollingRestartHours*time.Hour) / float64(n))
	replaced := 0
	for elapsed := time.Duration(0); elapsed < rollingRestartWindow; elapsed += interval {
		i := replaced
		f.Leave(i)
		f.Run(min(interval, rollingRestartWindow) / 2)
		f.Kill(i)
		f.Restart(i)
		f.Run(min(interval, rollingRestartWindow) / 2)
		replaced++
	}
	r.add("bytes a second of a rolling restart", n, meanByteRate(f, time.Duration(replaced)*min(interval, rollingRestartWindow)), "B/s sent")
}

// viewCounter returns a function that counts the nodes whose view of the instance
// satisfies accept, and the other nodes.
func viewCounter(f *membershiptest.Fleet, id fleet.InstanceID, accept func(fleet.Instance, bool) bool) func() (int, int) {
	return func() (int, int) { return f.CountViews(id, accept) }
}

// addPropagationTimes runs the fleet until count finds an update at all nodes. It adds
// the times until it was at half of the nodes and at the last node, or, at
// propagationTimeout, the percentage of nodes without it.
func addPropagationTimes(f *membershiptest.Fleet, r *report, name string, n int, count func() (yes, no int)) {
	start := f.Now
	half := time.Duration(-1)
	for f.Now.Sub(start) < propagationTimeout {
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
	r.add(name+" missing after "+propagationTimeout.String(), n, float64(no)/float64(yes+no)*100, "% of nodes")
}

func resetBytesSent(f *membershiptest.Fleet) {
	for _, node := range f.Nodes {
		node.BytesSent = 0
	}
}

// measureByteRate runs the fleet for a duration and returns the mean number of bytes that
// a node sent per second, headers included.
func measureByteRate(f *membershiptest.Fleet, d time.Duration) float64 {
	resetBytesSent(f)
	f.Run(d)
	return meanByteRate(f, d)
}

func meanByteRate(f *membershiptest.Fleet, d time.Duration) float64 {
	var sum uint64
	for _, node := range f.Nodes {
		sum += node.BytesSent
	}
	return float64(sum) / d.Seconds() / float64(len(f.Nodes))
}
