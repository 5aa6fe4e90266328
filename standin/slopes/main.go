// Command slopes measures how the cost of control grows with the fleet and prints
// the figures that docs/CAPACITY.md quotes.
//
// The part "tables" drives one complete membership table of each size and the real
// codec, "entries" the table by which targets are chosen, "documents" an inventory.
// "spread", "domain", "rolling" and "parted" run that many nodes' tables in one
// process, in virtual time over a network with the regions' delays; the members
// that all know at the start stand once in a base that the tables share, and each
// table holds what has changed since. "processes" runs real gypsumd processes on
// loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
)

// part is a group of measurements that can be run alone.
type part struct {
	name string
	run  func(o options, r *report) error
}

// options are the settings of the command line.
type options struct {
	sizes     []int
	processes []int
	gypsumd   string
	inventory string
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
	inventory := flag.String("inventory", "examples/lindenhuber.yaml", "inventory that the processes get")
	read := flag.String("read", "", "file with figures that earlier runs printed, to plot beside the new ones")
	plots := flag.String("plots", "", "folder for the plots, none if empty")
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
		{"entries", measureEntries},
		{"documents", measureDocuments},
		{"spread", measureSpreads},
		{"domain", measureLostDomains},
		{"rolling", measureRollings},
		{"parted", measureParteds},
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
	return r.plot(*plots)
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
