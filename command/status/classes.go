package status

import "github.com/gypsumford/gypsumford/rpc/operator"

// classCounts sums the calls of each class in the order in which nodes list the
// classes, which is that of their importance.
type classCounts struct {
	order []string
	rowOf map[string]*classRow
}

func newClassCounts() *classCounts {
	return &classCounts{rowOf: make(map[string]*classRow)}
}

func (c *classCounts) add(counts []*operator.ClassCount) {
	for _, count := range counts {
		row := c.rowOf[count.GetClass()]
		if row == nil {
			row = &classRow{Class: count.GetClass(), Reasons: make(map[string]uint64)}
			c.rowOf[count.GetClass()] = row
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
		rows = append(rows, *c.rowOf[class])
	}
	return rows
}
