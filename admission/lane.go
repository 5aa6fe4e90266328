package admission

// Sides of a lane: one heap has the call to start next on top, the other the one
// to refuse next.
const (
	sideBest  = 0
	sideWorst = 1
)

// lane holds waiting tickets in two orders. The next ticket of each is at hand,
// and every change costs the logarithm of the length.
type lane struct {
	heaps [2][]int32 // indexes of tickets
}

func (l *lane) len() int { return len(l.heaps[sideBest]) }

// top returns the ticket at one end; the lane must not be empty.
func (l *lane) top(side int) int32 { return l.heaps[side][0] }

func (l *lane) push(tickets []ticket, index int32) {
	for side := range l.heaps {
		l.heaps[side] = append(l.heaps[side], index)
		last := len(l.heaps[side]) - 1
		tickets[index].position[side] = int32(last)
		l.up(tickets, side, last)
	}
}

func (l *lane) remove(tickets []ticket, index int32) {
	for side := range l.heaps {
		heap := l.heaps[side]
		at := int(tickets[index].position[side])
		last := len(heap) - 1
		moved := heap[last]
		l.heaps[side] = heap[:last]
		if at == last {
			continue
		}
		heap[at] = moved
		tickets[moved].position[side] = int32(at)
		l.down(tickets, side, at)
		l.up(tickets, side, int(tickets[moved].position[side]))
	}
}

// before reports whether a comes before b on a side. Equal keys keep the order
// of their ids.
func before(tickets []ticket, side int, a, b int32) bool {
	x, y := &tickets[a], &tickets[b]
	if side == sideWorst {
		if x.refuse != y.refuse {
			return x.refuse > y.refuse
		}
		return x.id > y.id
	}
	if x.start != y.start {
		return x.start < y.start
	}
	return x.id < y.id
}

func (l *lane) up(tickets []ticket, side, at int) {
	heap := l.heaps[side]
	for at > 0 {
		parent := (at - 1) / 2
		if !before(tickets, side, heap[at], heap[parent]) {
			return
		}
		l.swap(tickets, side, at, parent)
		at = parent
	}
}

func (l *lane) down(tickets []ticket, side, at int) {
	heap := l.heaps[side]
	for {
		child := 2*at + 1
		if child >= len(heap) {
			return
		}
		if child+1 < len(heap) && before(tickets, side, heap[child+1], heap[child]) {
			child++
		}
		if !before(tickets, side, heap[child], heap[at]) {
			return
		}
		l.swap(tickets, side, at, child)
		at = child
	}
}

func (l *lane) swap(tickets []ticket, side, i, j int) {
	heap := l.heaps[side]
	heap[i], heap[j] = heap[j], heap[i]
	tickets[heap[i]].position[side] = int32(i)
	tickets[heap[j]].position[side] = int32(j)
}
