package node

import (
	"math"
	"time"

	"github.com/gypsumford/gypsumford/balance"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/route"
	"github.com/gypsumford/gypsumford/spillover"
)

// spilloverLogInterval is the time between checks for services whose requests began or ended to
// leave the failure domain.
const spilloverLogInterval = 1 * time.Second

// domains counts and logs what leaves the node's failure domain.
type domains struct {
	own     string
	tables  *tables
	log     decisionLog
	metrics *metrics
	// table is guarded by the tables' lock, as package balance uses it. It is nil if a fixed
	// factor decides on leaving the domain.
	table *spillover.Table
}

// newDomains makes package spillover decide on leaving the failure domain, unless the settings
// say otherwise.
func newDomains(s *Settings, t *tables, log decisionLog, m *metrics) *domains {
	d := &domains{own: s.Domain, tables: t, log: log, metrics: m}
	if !s.WithoutSpillover {
		d.table = spillover.NewTable()
		t.mu.balance.UseSpillover(d.table)
	}
	return d
}

// sent counts a request that is sent to the chosen target, if that is in another failure domain.
func (d *domains) sent(service string, choice *balance.Choice) {
	if choice.Record.Domain != d.own {
		d.metrics.domainRequests.Add(service+"/"+choice.Spillover.Reason.String(), 1)
	}
}

// ended counts the bytes of the bodies that were sent and received.
func (d *domains) ended(service string, choice *balance.Choice, bytes int) {
	if choice.Record.Domain != d.own {
		d.metrics.domainBytes.Add(service, int64(bytes))
	}
}

// relieve lowers the pressures that a target in the own failure domain reports of the service to
// those of the domain that requests leave for: otherwise requests would be refused although there
// is room for them. The tables' lock is held.
func (d *domains) relieve(now time.Time, service string, choice *balance.Choice, reply *link.Reply) {
	if d.table == nil || choice.Record.Domain != d.own {
		return
	}
	used, ok := d.table.Relief(now, service)
	if !ok {
		return
	}
	most := byte(min(used/link.PressureUnit, math.MaxUint8))
	for i := range reply.Views {
		if reply.Views[i].Service != service {
			continue
		}
		for p, pressure := range reply.Views[i].Pressures {
			reply.Views[i].Pressures[p] = min(pressure, most)
		}
	}
}

// logChanges logs the services whose requests began or ended to leave the failure domain, and
// updates the metric of their shares.
func (d *domains) logChanges(now time.Time) {
	if d.table == nil {
		return
	}
	d.tables.mu.Lock()
	changes, statuses := d.table.Changes(now), d.table.Statuses(now)
	d.tables.mu.Unlock()
	for i := range changes {
		d.log.domainLeft(&changes[i], d.own)
	}
	for _, s := range statuses {
		d.metrics.setDomainShare(s.Service, s.Share)
	}
}

// retainServices prunes the services that the configuration doesn't list.
func (d *domains) retainServices(c *route.Configuration) {
	if d.table == nil {
		return
	}
	listed := map[string]bool{}
	for i := range c.Routes {
		for _, destination := range c.Routes[i].Destinations {
			listed[destination.Service] = true
		}
	}
	d.tables.mu.Lock()
	d.table.RetainServices(listed)
	d.tables.mu.Unlock()
	d.metrics.retainDomainShares(listed)
}
