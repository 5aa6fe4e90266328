// Command slopes measures how the cost of the control plane (processor time, memory,
// traffic, propagation time) grows with the number of nodes. It prints the figures that
// docs/CAPACITY.md quotes and plots them on request.
//
// The measurements form parts, which can be run alone:
//
//   - tables: one complete membership table of each size, with the real codec.
//   - entries: the routing table from which an entry node chooses targets.
//   - documents: an inventory for a fleet of each size.
//   - spread, domain, rolling, parted: the propagation of updates, the loss of a
//     failure domain, a rolling restart, and the network partition of a region.
//     The membership tables of all nodes run in one process, in virtual time, over a
//     modelled network with the delays between regions. The members known at the start
//     are stored once, in a base that the tables share; each table holds only the
//     changes since.
//   - processes: real gypsumd processes on loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
)

// part is a group of measurements that the flag -only selects.
type part struct {
	name string
	run  func(o options, r *report) error
}

// options holds the values of the flags that the parts read.
type options struct {
	sizes     []int  // members of the tables, nodes in virtual time
	processes []int  // numbers of real processes
	gypsumd   string // path of the daemon
	inventory string // path of the inventory for the processes
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run() error {
	only := flag.String("only", "tables,entries,documents,spread,domain,rolling,parted,processes", "parts to run, separated by commas")
	sizes := flag.String("sizes", "10,100,1000,5000,19000", "members of the tables and nodes in virtual time")
	processes := flag.String("processes", "10,50,100,200", "numbers of real processes")
	gypsumd := flag.String("gypsumd", "bin/gypsumd", "path of the daemon")
	inventory := flag.String("inventory", "examples/lindenhuber.yaml", "inventory file that the processes use as their configuration")
	read := flag.String("read", "", "file with the output of earlier runs, plotted together with the new figures")
	plots := flag.String("plots", "", "directory for the plots; no plots if empty")
	flag.Parse()
	o := options{gypsumd: *gypsumd, inventory: *inventory}
	var err error
	if o.sizes, err = parseSizes(*sizes); err != nil {
		return err
	}
	if o.processes, err = parseSizes(*processes); err != nil {
		return err
	}
	r := &report{out: os.Stdout}
	if *read != "" {
		if err := r.read(*read); err != nil {
			return err
		}
	}
	parts := []part{
		{"tables", measureTables},
		{"entries", measureRoutingTables},
		{"documents", measureDocuments},
		{"spread", measurePropagations},
		{"domain", measureLostDomains},
		{"rolling", measureRollingRestarts},
		{"parted", measurePartitions},
		{"processes", measureProcesses},
	}
	for _, p := range parts {
		if !strings.Contains(","+*only+",", ","+p.name+",") {
			continue
		}
		if err := p.run(o, r); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	if *plots == "" {
		return nil
	}
	return r.writePlots(*plots)
}

func parseSizes(list string) ([]int, error) {
	var sizes []int
	for _, field := range strings.Split(list, ",") {
		var size int
		if _, err := fmt.Sscanf(field, "%d", &size); err != nil || size < 10 || size > 19_000 {
			return nil, fmt.Errorf("size %q: want 10 to 19000", field)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}
