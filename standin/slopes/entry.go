package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/membership"
	"github.com/gypsumford/gypsumford/routing"
)

// measureEntries measures the table by which an entry node chooses targets, with a
// fleet of each size of which it calls all services.
func measureEntries(o options, r *report) error {
	for _, n := range o.sizes {
		measureEntry(n, r)
	}
	return nil
}

func measureEntry(n int, r *report) {
	now := time.Now()
	members := membership.NewTableFrom(membership.Config{}, sample(0), now, 1, membership.NewBase(samples(n)))
	services := min(n, targetServices)
	before := heapBytes()
	table := routing.NewTable(routing.Config{}, sample(0).FailureDomain, sample(0).Region, 1)
	for i := range services {
		name := fmt.Sprintf("service-%03d", i)
		table.SetService(name, routing.ServiceConfig{})
		table.SetInstances(now, name, members.Instances(name))
	}
	r.add("entry table memory", n, float64(heapBytes()-before)/1000, "kB")
	r.add("target chosen", n, microseconds(func() {
		now = now.Add(time.Microsecond)
		chosen, ok := table.Choose(now, "service-001", routing.ChooseOptions{})
		if !ok {
			return
		}
		table.Begin(now, chosen.ID)
		table.End(now, chosen.ID, routing.Sample{Outcome: call.Completed})
	}), "us")
	r.add("targets of a service set", n, microseconds(func() {
		table.SetInstances(now, "service-001", members.Instances("service-001"))
	}), "us")
	runtime.KeepAlive(table)
}
