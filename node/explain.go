package node

import (
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/gypsumford/gypsumford/balance"
	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/route"
	"github.com/gypsumford/gypsumford/spillover"
)

// ExplainPath at the metrics address tells where a request would go now (GET, with the query
// parameters host, path, account and awaited). Nothing is sent or counted.
const ExplainPath = "/explain"

// Explanation is the response to GET at ExplainPath.
type Explanation struct {
	Instance string        `json:"instance"`
	Domain   string        `json:"domain"`
	Version  route.Version `json:"version"`
	Route    string        `json:"route,omitempty"`
	NeedsKey bool          `json:"needsKey"`
	Account  string        `json:"account,omitempty"`
	Priority int           `json:"priority"`
	// Refused is why the request would be refused before a target is chosen, "" if it wouldn't.
	Refused string `json:"refused,omitempty"`
	// Pressures are those of the services that the route leads to, as far as its cost is known.
	Pressures []ExplainedPressure `json:"pressures"`
	Services  []ExplainedService  `json:"services"` // destinations of the route
}

// ExplainedPressure is the pressure of one service for the request's priority.
type ExplainedPressure struct {
	Service  string  `json:"service"`
	Requests float64 `json:"requests"` // that one request of the route makes there
	Known    bool    `json:"known"`
	Pressure float64 `json:"pressure"`
	AgeMs    int64   `json:"ageMs"`
	// Restricted tells that requests of the priority are refused, and Share which part of
	// those of the most important restricted priority is admitted.
	Restricted bool    `json:"restricted"`
	Share      float64 `json:"share"`
}

// ExplainedService is a destination of the route.
type ExplainedService struct {
	Service   string              `json:"service"`
	Weight    float64             `json:"weight"`    // share of the route's requests
	Crossing  float64             `json:"crossing"`  // cost of leaving the failure domain, in route means
	Spillover bool                `json:"spillover"` // package spillover decides on leaving
	Domains   []spillover.Outlook `json:"domains"`   // the other ones
	Targets   []ExplainedTarget   `json:"targets"`
}

// ExplainedTarget is a candidate target.
type ExplainedTarget struct {
	Target    string  `json:"target"`
	Instance  string  `json:"instance"`
	Domain    string  `json:"domain"`
	Chance    float64 `json:"chance"`
	Score     float64 `json:"score"`
	Latency   float64 `json:"latency"` // over the route's mean
	Failures  float64 `json:"failures"`
	Refusals  float64 `json:"refusals"`
	InFlight  int     `json:"inFlight"`
	Running   int     `json:"running"`
	Waiting   int     `json:"waiting"`
	Slots     int     `json:"slots"`
	LoadAgeMs int64   `json:"loadAgeMs"` // -1 if no load is known
	State     string  `json:"state"`
}

// serveExplain tells where a request would go.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("host") == "" || query.Get("path") == "" {
		http.Error(w, "explain: query parameters host and path are required", http.StatusBadRequest)
		return
	}
	writeJSON(w, n.explain(query.Get("host"), query.Get("path"), query.Get("account"), query.Get("awaited") == "true"))
}

// explain returns where a request would go. account is the name of a client account, "" for a
// request without a key.
func (n *Node) explain(host, path, account string, awaited bool) *Explanation {
	out := &Explanation{Instance: n.settings.Name, Domain: n.settings.Domain, Pressures: []ExplainedPressure{}, Services: []ExplainedService{}}
	c := n.tables.inForce.Load()
	if c == nil {
		out.Refused = "no configuration is in force"
		return out
	}
	out.Version = c.Version
	path, _, _ = strings.Cut(path, "?")
	matched := c.Match(host, path)
	if matched == nil || len(matched.Destinations) == 0 {
		out.Refused = "no route matches"
		return out
	}
	out.Route, out.NeedsKey = matched.Name, c.NeedsKey(matched)
	holder := c.AccountByName(account)
	switch {
	case account != "" && holder == nil:
		out.Refused = "no account has that name"
	case out.NeedsKey && holder == nil:
		out.Refused = "the route needs the key of an account"
	case holder != nil:
		out.Account = holder.Name
	}
	out.Priority = c.PriorityOf(matched, holder)
	n.describeCandidates(out, matched, awaited)
	return out
}

// describeCandidates adds the pressures and the candidate targets of the route.
func (n *Node) describeCandidates(out *Explanation, matched *route.Route, awaited bool) {
	now, t, sum := n.now(), n.tables, 0.0
	for _, d := range matched.Destinations {
		sum += d.Weight
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	restrictions := t.mu.shed.Restrictions(now)
	for _, cost := range t.mu.costs.ByService(matched.Name) {
		pressures, at, fresh := t.mu.shed.Pressures(now, cost.Service)
		p := ExplainedPressure{Service: cost.Service, Requests: cost.Requests, Known: fresh, Share: 1}
		if fresh {
			p.Pressure, p.AgeMs = pressures[loadshed.ClampPriority(out.Priority)], now.Sub(at).Milliseconds()
		}
		for i := range restrictions {
			if restrictions[i].Service == cost.Service && restrictions[i].Priority <= loadshed.ClampPriority(out.Priority) {
				p.Restricted, p.Share = true, restrictions[i].Share
			}
		}
		out.Pressures = append(out.Pressures, p)
	}
	for _, d := range matched.Destinations {
		wanted := balance.Request{Route: matched.Name, Service: d.Service, Awaited: awaited}
		explained := t.mu.balance.Explain(now, wanted, t.mu.roster.Serving(d.Service))
		s := ExplainedService{
			Service: d.Service, Crossing: rounded(explained.Crossing), Spillover: n.domains.table != nil,
			Domains: explained.Domains, Targets: []ExplainedTarget{},
		}
		if sum > 0 {
			s.Weight = rounded(d.Weight / sum)
		}
		for i := range explained.Targets {
			s.Targets = append(s.Targets, explainedTarget(&explained.Targets[i]))
		}
		out.Services = append(out.Services, s)
	}
}

func explainedTarget(e *balance.Explained) ExplainedTarget {
	t := ExplainedTarget{
		Target: e.Record.Target.ID, Instance: e.Record.Instance, Domain: e.Record.Domain, Chance: rounded(e.Chance),
		Score: rounded(e.Score), Latency: rounded(e.Latency), Failures: rounded(e.Failures), Refusals: rounded(e.Refusals),
		InFlight: e.InFlight, Running: e.Load.Running, Waiting: e.Load.Waiting, Slots: e.Load.Slots, LoadAgeMs: -1, State: "ready",
	}
	if e.LoadAge > 0 {
		t.LoadAgeMs = int64(e.LoadAge / time.Millisecond)
	}
	switch {
	case e.Unreachable:
		t.State = "unreachable"
	case e.Cold:
		t.State = "cold"
	}
	return t
}

// rounded rounds to three decimals, for output.
func rounded(x float64) float64 { return math.Round(x*1000) / 1000 }
