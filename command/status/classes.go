package status

import "github.com/gypsumford/gypsumford/rpc/operator"

// classCounts sums the calls of each class. The classes are in the order in which
// nodes list them, most important first.
type classCounts struct {
	order   []string
	byClass map[string]*classRow
}

func newClassCounts() *classCounts {
	return &classCounts{byClass: make(map[string]*classRow)}
}

func (c *classCounts) add(counts []*operator.ClassCount) {
	for _, count := range counts {
		row := c.byClass[count.GetClass()]
		if row == nil {
			row = &classRow{Class: count.GetClass(), Reasons: make(map[string]uint64)}
			c.byClass[count.GetClass()] = row
			c.order = append(c.order, count.GetClass())
		}
		row.Completed += count.GetCompleted()
		row.Unknown += count.GetUnknown()
		for _, refusal := range count.GetRefusals() {
			row.Refused += refusal.GetCount()
			row.Reasons[refusal.GetReason()] += refusal.GetCount()
		}
	}
}

func (c *classCounts) rows() []classRow {
	rows := make([]classRow, 0, len(c.order))
	for _, class := range c.order {
		rows = append(rows, *c.byClass[class])
	}
	return rows
}
