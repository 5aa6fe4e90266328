package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/membership"
)

const (
	targetDomains  = 31
	targetRegions  = 10
	targetServices = 950
	rounds         = 1000 // repetitions of a measured call
)

// sample returns the i-th instance of a fleet of the stated target's shape, with an
// id as long as the daemon's.
func sample(i int) fleet.Instance {
	domain := i % targetDomains
	return fleet.Instance{
		ID:            fleet.InstanceID(fmt.Sprintf("0197a3f2-7c1d-7e8a-9b3c-%012x", i)),
		PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7002", i>>16, i>>8&255, i&255),
		FailureDomain: fleet.FailureDomain(fmt.Sprintf("domain-%02d", domain)),
		Region:        fleet.Region(fmt.Sprintf("region-%02d", domain%targetRegions)),
		Service:       fmt.Sprintf("service-%03d", i%targetServices),
		Slots:         70,
		State:         fleet.Ready,
	}
}

func samples(n int) []fleet.Instance {
	instances := make([]fleet.Instance, n)
	for i := range instances {
		instances[i] = sample(i)
	}
	return instances
}

// measureTables measures one complete table of each size, built like that of a
// node that joins: from another node's snapshot.
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
	server := membership.NewTableFrom(membership.Config{}, sample(0), now, 1, membership.NewBase(samples(n)))
	var snapshot []byte
	r.add("snapshot made", n, milliseconds(func() { snapshot = server.Snapshot(now) }), "ms")
	r.add("snapshot size", n, float64(len(snapshot))/1000, "kB")

	before := heapBytes()
	joiner := sample(n - 1)
	table := membership.NewTable(membership.Config{}, joiner, now, 2)
	var failure error
	r.add("snapshot merged", n, milliseconds(func() { _, failure = table.Merge(now, snapshot) }), "ms")
	if failure != nil {
		return failure
	}
	table.Changes()
	table.Tick(now)
	r.add("table memory", n, float64(heapBytes()-before)/1000, "kB")

	measureCalls(n, table, server, r)
	runtime.KeepAlive(table)
	return nil
}

// measureCalls measures what a node does all the time.
func measureCalls(n int, table, peer *membership.Table, r *report) {
	now := time.Now()
	var sent []membership.Message
	for len(sent) == 0 {
		now = now.Add(membership.TickInterval)
		sent = peer.Tick(now)
	}
	r.add("packet received", n, microseconds(func() {
		_, _ = table.Receive(now, sample(0).PeerAddress, sent[0].Data)
	}), "us")
	r.add("instances of a service listed", n, microseconds(func() { table.Instances("service-001") }), "us")
	r.add("all members listed", n, microseconds(func() { table.All() }), "us")
	r.add("members of the domain listed", n, microseconds(func() { table.DomainMembers() }), "us")
}

func milliseconds(call func()) float64 {
	start := time.Now()
	call()
	return float64(time.Since(start)) / float64(time.Millisecond)
}

// microseconds returns the mean time of one call.
func microseconds(call func()) float64 {
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
