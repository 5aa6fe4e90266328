package admission

import "fmt"

func (q *Queue) Dump() string {
	s := ""
	for _, c := range q.callers.list {
		for i := 0; i < 3; i++ {
			s += fmt.Sprintf(" [%.0f/s %.2f]", c.flows[i].demand.value(), c.flows[i].admitted)
		}
	}
	return fmt.Sprintf("limit %d run %d queued %d goal %.0f cap %.0f active %v speed %.1f:%s long %d/%d", q.limit.limit(), q.running, q.queued(), q.control.goal, q.control.capacity(q.limit.limit()), q.control.active, q.control.speed.value(), s, q.longRunning, q.lanes[1].len())
}
