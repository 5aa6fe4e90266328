package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
)

const (
	// Numbers of failure domains, regions and services of the modelled fleet, which has
	// the shape that the capacity target states.
	fleetDomains  = 31
	fleetRegions  = 10
	fleetServices = 950

	rounds = 1000 // number of calls that meanCallMicroseconds averages over
)

// modelInstance returns the i-th instance of the modelled fleet. Its id is as long as
// the ids that daemons create, so that sizes of messages are realistic.
func modelInstance(i int) fleet.Instance {
	domain := i % fleetDomains
	return fleet.Instance{
		ID:            fleet.InstanceID(fmt.Sprintf("0197a3f2-7c1d-7e8a-9b3c-%012x", i)),
		PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7002", i>>16, i>>8&255, i&255),
		FailureDomain: fleet.FailureDomain(fmt.Sprintf("domain-%02d", domain)),
		Region:        fleet.Region(fmt.Sprintf("region-%02d", domain%fleetRegions)),
		Service:       fmt.Sprintf("service-%03d", i%fleetServices),
		Slots:         70,
		State:         fleet.Ready,
	}
}

func modelInstances(n int) []fleet.Instance {
	instances := make([]fleet.Instance, n)
	for i := range instances {
		instances[i] = modelInstance(i)
	}
	return instances
}

// measureTables measures one complete membership table of each size. The table is
// built from the snapshot of another node, as by a node that joins.
func measureTables(o options, r *report) error {
	for _, n := range o.sizes {
		if err := measureTable(n, r); err != nil {
			return err
		}
	}
	return nil
}

func measureTable(n int, r *report) error {
	now := time.Now()
	server := membership.NewTableFrom(membership.Config{}, modelInstance(0), now, 1, membership.NewBase(modelInstances(n)))
	var snapshot []byte
	r.add("snapshot made", n, callMilliseconds(func() { snapshot = server.Snapshot(now) }), "ms")
	r.add("snapshot size", n, float64(len(snapshot))/1000, "kB")

	before := heapBytes()
	joiner := modelInstance(n - 1)
	table := membership.NewTable(membership.Config{}, joiner, now, 2)
	var mergeErr error
	r.add("snapshot merged", n, callMilliseconds(func() { _, mergeErr = table.Merge(now, snapshot) }), "ms")
	if mergeErr != nil {
		return mergeErr
	}
	table.Changes()
	table.Tick(now)
	r.add("table memory", n, float64(heapBytes()-before)/1000, "kB")

	measureTableOperations(n, table, server, r)
	runtime.KeepAlive(table)
	return nil
}

// measureTableOperations measures the operations that a node runs continually.
func measureTableOperations(n int, table, peer *membership.Table, r *report) {
	now := time.Now()
	var sent []membership.Message
	for len(sent) == 0 {
		now = now.Add(membership.TickInterval)
		sent = peer.Tick(now)
	}
	r.add("packet received", n, meanCallMicroseconds(func() {
		_, _ = table.Receive(now, modelInstance(0).PeerAddress, sent[0].Data)
	}), "us")
	r.add("instances of a service listed", n, meanCallMicroseconds(func() { table.Instances("service-001") }), "us")
	r.add("all members listed", n, meanCallMicroseconds(func() { table.All() }), "us")
	r.add("members of the domain listed", n, meanCallMicroseconds(func() { table.DomainMembers() }), "us")
}

func callMilliseconds(call func()) float64 {
	start := time.Now()
	call()
	return float64(time.Since(start)) / float64(time.Millisecond)
}

// meanCallMicroseconds returns the mean duration of one call.
func meanCallMicroseconds(call func()) float64 {
	start := time.Now()
	for range rounds {
		call()
	}
	return float64(time.Since(start)) / float64(time.Microsecond) / rounds
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
