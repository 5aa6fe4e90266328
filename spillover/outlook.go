package spillover

// Outlook is what leaving for one failure domain would bring now.
type Outlook struct {
	Domain  string  `json:"domain"`
	Targets int     `json:"targets"` // that can be reached
	Used    float64 `json:"used"`    // share of their slots in use
	Reports float64 `json:"reports"` // weight of the reports that Used is the mean of
	Cost    float64 `json:"cost"`    // of one more request there, as a multiple of the route's mean latency
	Gain    float64 `json:"gain"`    // moving average, before the cost of the crossing
	Share   float64 `json:"share"`   // of the requests that go there
}

// Outlooks returns the outlooks of the other domains for a request with the cost of leaving,
// and changes nothing. Probes aren't considered.
func (t *Table) Outlooks(name string, crossing float64, own *View, others []View) []Outlook {
	s := t.services[name]
	if s == nil {
		s = newService()
	}
	list, total, share := make([]Outlook, len(others)), 0.0, 0.0
	for i := range others {
		v := &others[i]
		list[i] = Outlook{Domain: v.Domain, Targets: v.Targets, Used: v.Used, Reports: v.Reports, Cost: v.costAt(v.Used)}
		if g := s.gains[v.Domain]; g != nil {
			list[i].Gain = g.value
		}
		weight := v.Capacity / max(list[i].Cost, 1)
		if own.Targets > 0 {
			leaving := min(max((list[i].Gain-crossing)/rampWidth, 0), 1)
			share = max(share, leaving)
			weight = leaving * v.Capacity
		} else if v.Targets > 0 {
			share = 1
		}
		list[i].Share = weight
		total += weight
	}
	for i := range list {
		if total > 0 {
			list[i].Share *= share / total
		}
	}
	return list
}
