package admission

// Orders of a lane. The first heap has the call to start next on top, the second
// the call to refuse next.
const (
	orderStart   = 0
	orderRefusal = 1
)

// lane holds waiting tickets in two orders. The first ticket of each order is
// found in constant time; adding or removing a ticket takes logarithmic time.
type lane struct {
	heaps [2][]int32 // indexes of tickets
}

func (l *lane) len() int { return len(l.heaps[orderStart]) }

// top returns the first ticket of an order; the lane must not be empty.
func (l *lane) top(order int) int32 { return l.heaps[order][0] }

func (l *lane) push(tickets []ticket, index int32) {
	for order := range l.heaps {
		l.heaps[order] = append(l.heaps[order], index)
		last := len(l.heaps[order]) - 1
		tickets[index].position[order] = int32(last)
		l.up(tickets, order, last)
	}
}

func (l *lane) remove(tickets []ticket, index int32) {
	for order := range l.heaps {
		heap := l.heaps[order]
		at := int(tickets[index].position[order])
		last := len(heap) - 1
		moved := heap[last]
		l.heaps[order] = heap[:last]
		if at == last {
			continue
		}
		heap[at] = moved
		tickets[moved].position[order] = int32(at)
		l.down(tickets, order, at)
		l.up(tickets, order, int(tickets[moved].position[order]))
	}
}

// before reports whether a comes before b in an order. Equal keys are ordered by
// ticket id.
func before(tickets []ticket, order int, a, b int32) bool {
	x, y := &tickets[a], &tickets[b]
	if order == orderRefusal {
		if x.refusalKey != y.refusalKey {
			return x.refusalKey > y.refusalKey
		}
		return x.id > y.id
	}
	if x.startKey != y.startKey {
		return x.startKey < y.startKey
	}
	return x.id < y.id
}

func (l *lane) up(tickets []ticket, order, at int) {
	heap := l.heaps[order]
	for at > 0 {
		parent := (at - 1) / 2
		if !before(tickets, order, heap[at], heap[parent]) {
			return
		}
		l.swap(tickets, order, at, parent)
		at = parent
	}
}

func (l *lane) down(tickets []ticket, order, at int) {
	heap := l.heaps[order]
	for {
		child := 2*at + 1
		if child >= len(heap) {
			return
		}
		if child+1 < len(heap) && before(tickets, order, heap[child+1], heap[child]) {
			child++
		}
		if !before(tickets, order, heap[child], heap[at]) {
			return
		}
		l.swap(tickets, order, at, child)
		at = child
	}
}

func (l *lane) swap(tickets []ticket, order, i, j int) {
	heap := l.heaps[order]
	heap[i], heap[j] = heap[j], heap[i]
	tickets[heap[i]].position[order] = int32(i)
	tickets[heap[j]].position[order] = int32(j)
}
