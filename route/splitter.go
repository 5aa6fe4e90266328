package route

import "maps"

// goldenRatioFraction is the step of a low-discrepancy sequence between 0 and 1: any run
// of n points splits among the destinations by their weights with an error of about 1/n.
const goldenRatioFraction = 0.6180339887498949

// Splitter splits the requests of each route among its destinations by weight.
type Splitter struct {
	lastPoints map[string]float64 // by route name, 0 to 1
	start      float64            // 0 to 1
}

// NewSplitter returns a splitter whose sequences begin at start, from 0 to 1. Nodes use
// different starts, so that their sequences don't coincide.
func NewSplitter(start float64) *Splitter {
	return &Splitter{lastPoints: map[string]float64{}, start: start}
}

// Next returns the service for the next request of the route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	point, ok := s.lastPoints[r.Name]
	if !ok {
		point = s.start
	}
	point += goldenRatioFraction
	if point >= 1 {
		point--
	}
	s.lastPoints[r.Name] = point
	return pick(r.Destinations, point)
}

// RetainRoutes prunes the routes that are not listed.
func (s *Splitter) RetainRoutes(listed map[string]bool) {
	maps.DeleteFunc(s.lastPoints, func(route string, _ float64) bool { return !listed[route] })
}

// pick returns the service whose interval contains the point. The intervals divide the
// range from 0 to 1 by the destinations' weights.
func pick(destinations []Destination, point float64) string {
	total := 0.0
	for _, d := range destinations {
		total += d.Weight
	}
	sum := 0.0
	for _, d := range destinations {
		sum += d.Weight
		if point*total < sum {
			return d.Service
		}
	}
	if len(destinations) == 0 {
		return ""
	}
	return destinations[len(destinations)-1].Service
}
