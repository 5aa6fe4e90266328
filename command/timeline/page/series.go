package page

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/timeline"
)

// point is a value at one time.
type point struct {
	at    time.Time
	value float64
}

// series is one line of a panel.
type series struct {
	name   string
	points []point
}

// span is the time that a plot shows, divided into buckets. Rates are averages over
// a bucket.
type span struct {
	from, to time.Time
	bucket   time.Duration // length of a bucket
}

// maxBuckets is the largest number of buckets, apart from rounding at both ends. A
// span that is too long for it has more buckets of the longest length.
const maxBuckets = 120

// bucketSteps are the lengths that a bucket may have.
var bucketSteps = []time.Duration{
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour,
}

// spanOf returns the span from the first event to the last, in whole buckets.
func spanOf(events []timeline.Event) span {
	s := span{from: events[0].Time, to: events[0].Time}
	for i := range events {
		if at := events[i].Time; at.Before(s.from) {
			s.from = at
		} else if at.After(s.to) {
			s.to = at
		}
	}
	wanted := s.to.Sub(s.from) / maxBuckets
	s.bucket = bucketSteps[len(bucketSteps)-1]
	for _, step := range bucketSteps {
		if step >= wanted {
			s.bucket = step
			break
		}
	}
	s.from = s.from.Truncate(s.bucket)
	s.to = s.to.Truncate(s.bucket).Add(s.bucket)
	return s
}

// requestRates returns a series for each class: the rate of root requests with the
// outcome, per second.
func requestRates(requests []request, s span, outcome outcome) []series {
	counts := make(map[string][]int)
	for _, r := range requests {
		if r.outcome != outcome {
			continue
		}
		if counts[r.class] == nil {
			counts[r.class] = make([]int, s.bucketCount())
		}
		counts[r.class][s.bucketIndex(r.endedAt)]++
	}
	lines := make([]series, 0, len(counts))
	for _, class := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, series{name: orDash(class), points: s.rates(counts[class])})
	}
	return lines
}

func (s span) bucketCount() int { return int(s.to.Sub(s.from)/s.bucket) + 1 }

func (s span) bucketIndex(at time.Time) int {
	return min(max(int(at.Sub(s.from)/s.bucket), 0), s.bucketCount()-1)
}

// rates returns the rate of each bucket, per second, at the middle of the bucket.
// The last count is left out, since its bucket begins where the span ends.
func (s span) rates(counts []int) []point {
	points := make([]point, 0, len(counts))
	for i, count := range counts[:len(counts)-1] {
		points = append(points, point{
			at:    s.from.Add(time.Duration(i)*s.bucket + s.bucket/2),
			value: float64(count) / s.bucket.Seconds(),
		})
	}
	return points
}

// sumByService returns a series for each service: the sum over its nodes of the
// value in the last event of the kind.
func sumByService(events []timeline.Event, s span, kind timeline.Kind) []series {
	return aggregateByService(events, s, kind, func(values map[fleet.InstanceID]float64) float64 {
		total := 0.0
		for _, value := range values {
			total += value
		}
		return total
	})
}

// minByService returns a series for each service: the minimum over its nodes of the
// value in the last event of the kind.
func minByService(events []timeline.Event, s span, kind timeline.Kind) []series {
	return aggregateByService(events, s, kind, func(values map[fleet.InstanceID]float64) float64 {
		return slices.Min(slices.Collect(maps.Values(values)))
	})
}

// aggregateByService returns a series for each service as a step function. At each
// event of the kind, the value is the aggregate of the last values of all nodes.
func aggregateByService(events []timeline.Event, s span, kind timeline.Kind, aggregate func(map[fleet.InstanceID]float64) float64) []series {
	byTime := make([]timeline.Event, 0)
	for i := range events {
		if events[i].Kind == kind && events[i].Service != "" {
			byTime = append(byTime, events[i])
		}
	}
	slices.SortStableFunc(byTime, func(a, b timeline.Event) int { return a.Time.Compare(b.Time) })
	values := make(map[string]map[fleet.InstanceID]float64)
	points := make(map[string][]point)
	for _, e := range byTime {
		if values[e.Service] == nil {
			values[e.Service] = make(map[fleet.InstanceID]float64)
		}
		values[e.Service][e.Node] = e.Value
		points[e.Service] = append(points[e.Service], point{e.Time, aggregate(values[e.Service])})
	}
	lines := make([]series, 0, len(points))
	for _, service := range slices.Sorted(maps.Keys(points)) {
		lines = append(lines, series{name: orDash(service), points: stepPoints(points[service], s)})
	}
	return lines
}

// stepPoints returns the corners of a step function, whose value holds until the
// next point. Of the points in one bucket it uses the last one only.
func stepPoints(points []point, s span) []point {
	var corners []point
	for i, p := range points {
		if i+1 < len(points) && s.bucketIndex(points[i+1].at) == s.bucketIndex(p.at) {
			continue
		}
		if len(corners) > 0 {
			corners = append(corners, point{p.at, corners[len(corners)-1].value})
		}
		corners = append(corners, p)
	}
	return append(corners, point{s.to, corners[len(corners)-1].value})
}
