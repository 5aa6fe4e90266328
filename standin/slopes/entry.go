package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/routing"
)

// measureRoutingTables measures the routing table from which an entry node chooses
// targets, for each size of the fleet. The node calls all services of the fleet.
func measureRoutingTables(o options, r *report) error {
	for _, n := range o.sizes {
		measureRoutingTable(n, r)
	}
	return nil
}

func measureRoutingTable(n int, r *report) {
	now := time.Now()
	members := membership.NewTableFrom(membership.Config{}, modelInstance(0), now, 1, membership.NewBase(modelInstances(n)))
	services := min(n, fleetServices)
	before := heapBytes()
	table := routing.NewTable(routing.Config{}, modelInstance(0).FailureDomain, modelInstance(0).Region, 1)
	for i := range services {
		name := fmt.Sprintf("service-%03d", i)
		table.SetService(name, routing.ServiceConfig{})
		table.SetInstances(now, name, members.Instances(name))
	}
	r.add("entry table memory", n, float64(heapBytes()-before)/1000, "kB")
	r.add("target chosen", n, meanCallMicroseconds(func() {
		now = now.Add(time.Microsecond)
		chosen, ok := table.Choose(now, "service-001", routing.ChooseOptions{})
		if !ok {
			return
		}
		table.Begin(now, chosen.ID)
		table.End(now, chosen.ID, routing.Sample{Outcome: call.Completed})
	}), "us")
	r.add("targets of a service set", n, meanCallMicroseconds(func() {
		table.SetInstances(now, "service-001", members.Instances("service-001"))
	}), "us")
	runtime.KeepAlive(table)
}
