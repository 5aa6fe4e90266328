package inventory

// depths finds the length of the longest chain of calls below each service, and
// the cycles.
type depths struct {
	services map[string]*serviceSource
	known    map[string]int
	onPath   map[string]bool
	path     []string
	cycles   map[string][]string // by the first service of the cycle that was met
}

func newDepths(services map[string]*serviceSource) *depths {
	return &depths{
		services: services,
		known:    make(map[string]int, len(services)),
		onPath:   make(map[string]bool),
		cycles:   make(map[string][]string),
	}
}

// of returns the number of services in the longest chain that begins with the
// named one; services of a cycle count once.
func (d *depths) of(name string) int {
	if depth, ok := d.known[name]; ok {
		return depth
	}
	service := d.services[name]
	if service == nil {
		return 0
	}
	d.onPath[name] = true
	d.path = append(d.path, name)
	deepest := 0
	for _, callee := range service.Calls {
		if d.onPath[callee] {
			d.keepCycle(callee)
			continue
		}
		deepest = max(deepest, d.of(callee))
	}
	d.path = d.path[:len(d.path)-1]
	delete(d.onPath, name)
	d.known[name] = deepest + 1
	return deepest + 1
}

// cycleAt returns the services of a cycle that was first met at the named one,
// which stands at both ends, or nil.
func (d *depths) cycleAt(name string) []string {
	d.of(name)
	return d.cycles[name]
}

// keepCycle keeps the end of the current path from the named service on.
func (d *depths) keepCycle(name string) {
	if d.cycles[name] != nil {
		return
	}
	start := len(d.path) - 1
	for d.path[start] != name {
		start--
	}
	d.cycles[name] = append(append([]string(nil), d.path[start:]...), name)
}
