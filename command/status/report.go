package status

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gypsumford/gypsumford/command/node"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/rpc/operator"
)

// report is the data of the tables, and the output as JSON.
type report struct {
	QueriedNode string          `json:"asked_node"`
	Nodes       int             `json:"nodes"`
	Responding  int             `json:"answering"`
	Versions    []epoch.Version `json:"inventory_versions"` // in force on the nodes that responded
	Services    []serviceRow    `json:"services"`
	Targets     []targetRow     `json:"targets"`
	Classes     []classRow      `json:"classes"`
}

// serviceRow sums up the targets of one service.
type serviceRow struct {
	Service string `json:"service"`
	Targets int    `json:"targets"`
	Ready   int    `json:"ready"`
	Running uint32 `json:"running"`
	Limit   uint32 `json:"limit"`
	Slots   uint32 `json:"slots"`
	Queued  uint32 `json:"queued"`
	Admits  string `json:"admits"` // the boundary of the strictest target

	boundary boundary
}

// targetRow is one node with its target.
type targetRow struct {
	Node          string        `json:"node"`
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	Region        string        `json:"region"`
	Service       string        `json:"service"`
	State         string        `json:"state"`
	Responded     bool          `json:"answers"`
	Running       uint32        `json:"running"`
	Limit         uint32        `json:"limit"`
	Slots         uint32        `json:"slots"`
	Queued        uint32        `json:"queued"`
	Admits        string        `json:"admits"`
	Version       epoch.Version `json:"inventory_version"`
	Error         string        `json:"error,omitempty"`

	boundary boundary
}

// classRow counts the calls of one class, summed over all nodes.
type classRow struct {
	Class     string            `json:"class"`
	Completed uint64            `json:"completed"`
	Unknown   uint64            `json:"unknown"`
	Refused   uint64            `json:"refused"`
	Reasons   map[string]uint64 `json:"reasons"`
}

// reasons returns the reasons of refusals with their counts, most frequent first.
func (c classRow) reasons() string {
	names := slices.SortedFunc(maps.Keys(c.Reasons), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.Reasons[b], c.Reasons[a]), cmp.Compare(a, b))
	})
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, c.Reasons[name]))
	}
	return strings.Join(parts, ", ")
}

// versions describes the versions of the inventory that are in force.
func (r report) versions() string {
	switch {
	case len(r.Versions) == 0, len(r.Versions) == 1 && r.Versions[0] == 0:
		return "none in force"
	case len(r.Versions) == 1:
		return fmt.Sprintf("version %s in force on all of them", r.Versions[0])
	default:
		return fmt.Sprintf("versions %v in force, not all nodes have the newest yet", r.Versions)
	}
}

func newReport(address string, results []node.Result[*operator.StatusReply], service string) report {
	r := report{QueriedNode: address, Services: []serviceRow{}, Targets: []targetRow{}, Classes: []classRow{}, Versions: []epoch.Version{}}
	services := make(map[string]*serviceRow)
	classes := newClassCounts()
	versions := make(map[epoch.Version]bool)
	for _, result := range results {
		row := newTargetRow(result)
		if service != "" && row.Service != service {
			continue
		}
		r.Nodes++
		if row.Responded {
			r.Responding++
			versions[row.Version] = true
			classes.add(result.Reply.GetClasses())
		}
		r.Targets = append(r.Targets, row)
	}
	for _, row := range r.Targets {
		addToService(services, row, classes)
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		r.Services = append(r.Services, *services[name])
	}
	r.Classes = append(r.Classes, classes.rows()...)
	r.Versions = append(r.Versions, slices.Sorted(maps.Keys(versions))...)
	slices.SortFunc(r.Targets, func(a, b targetRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Node, b.Node))
	})
	return r
}

// newTargetRow returns the row from the reply of the node. If there is none, the row
// is from the list of members, which another node reported.
func newTargetRow(result node.Result[*operator.StatusReply]) targetRow {
	member := result.Member
	row := targetRow{
		Node: member.GetNode(), Address: member.GetPeerAddress(),
		FailureDomain: member.GetFailureDomain(), Region: member.GetRegion(),
		Service: member.GetService(), State: member.GetState(), Version: epoch.Version(member.GetConfigVersion()),
	}
	if result.Err != nil {
		row.Error = result.Err.Error()
		return row
	}
	row.Responded = true
	row.Version = epoch.Version(result.Reply.GetConfigVersion())
	target := result.Reply.GetTarget()
	if target == nil {
		row.Error = "no target has announced itself"
		return row
	}
	row.Service, row.State = target.GetService(), target.GetState()
	row.Running, row.Limit, row.Slots = target.GetRunning(), target.GetLimit(), target.GetSlots()
	row.Queued = target.GetQueued()
	row.boundary = boundary{target.GetStrictestClass(), target.GetAdmittedShare()}
	row.Admits = row.boundary.String()
	return row
}

func addToService(services map[string]*serviceRow, target targetRow, classes *classCounts) {
	if target.Service == "" {
		return
	}
	row := services[target.Service]
	if row == nil {
		row = &serviceRow{Service: target.Service, Admits: "all"}
		services[target.Service] = row
	}
	row.Targets++
	if target.State == fleet.Ready.String() {
		row.Ready++
	}
	row.Running += target.Running
	row.Limit += target.Limit
	row.Slots += target.Slots
	row.Queued += target.Queued
	if target.Responded && target.boundary.stricter(row.boundary, classes) {
		row.boundary = target.boundary
		row.Admits = row.boundary.String()
	}
}
