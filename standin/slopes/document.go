package main

import (
	"fmt"
	"strings"

	"github.com/gypsumford/gypsumford/inventory"
)

// measureDocuments measures the size and the parsing time of an inventory with as
// many services as a fleet of each size has, at 20 targets per service.
func measureDocuments(o options, r *report) error {
	for _, n := range o.sizes {
		services := max(1, n/(19_000/fleetServices))
		document := []byte(generateInventory(services))
		encoded, err := inventory.Encode(document)
		if err != nil {
			return err
		}
		r.add("inventory size", n, float64(len(document))/1000, "kB")
		r.add("inventory size compressed", n, float64(len(encoded))/1000, "kB")
		var parseErr error
		r.add("inventory checked", n, callMilliseconds(func() { _, parseErr = inventory.Parse("inventory", encoded) }), "ms")
		if parseErr != nil {
			return parseErr
		}
	}
	return nil
}

// generateInventory returns an inventory with the given number of services, each with
// four operations. Most services call one other service. Names differ in length and
// order, as in a real inventory.
func generateInventory(services int) string {
	var b strings.Builder
	b.WriteString("classes: [orders, lookups, status]\nattempts:\n  bound: 12\nservices:\n")
	for i := range services {
		fmt.Fprintf(&b, "  - name: %s\n    contract:\n      slots: %d\n      connections: %d\n", serviceName(i), 10+i*7%90, 100+i*13%400)
		if i+1 < services && i%11 != 10 {
			fmt.Fprintf(&b, "    calls: [%s]\n", serviceName(i+1))
		}
		b.WriteString("    operations:\n")
		for j, class := range []string{"orders", "lookups", "lookups", "status"} {
			fmt.Fprintf(&b, "      - name: operation-%d-%d\n        class: %s\n        deadline: %dms\n",
				i*31%97, j, class, 200+(i*17+j*50)%1800)
			if class == "orders" {
				b.WriteString("        at-most-once: true\n")
			} else {
				b.WriteString("        repeatable: true\n")
			}
		}
	}
	return b.String()
}

func serviceName(i int) string {
	return fmt.Sprintf("service-%03d-%x", i, i*2654435761&0xffffff)
}
