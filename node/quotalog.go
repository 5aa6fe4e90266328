package node

import (
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/quota"
)

// maxCountedAccounts bounds the accounts whose refusals are counted for a log line.
const maxCountedAccounts = 1000

// countRefusal counts a refused request for the next log line. The lock is held.
func (q *quotas) countRefusal(account string, d quota.Decision) {
	if d.Verdict != quota.Exceeded && d.Verdict != quota.Unavailable {
		return
	}
	if _, ok := q.mu.refused[account]; !ok && len(q.mu.refused) >= maxCountedAccounts {
		q.mu.others++
		return
	}
	q.mu.refused[account]++
}

// quotaRefusals is the number of refused requests of an account, as it is logged.
type quotaRefusals struct {
	Account string `json:"account"`
	Refused int    `json:"refused"`
}

// logChanges logs where the node's parts are if that has changed, and the accounts of which
// requests were refused, those with most refusals first. The lock is held.
func (q *quotas) logChanges(now time.Duration) {
	stats := q.mu.table.Stats(now)
	state := quotaState{instances: stats.Instances, homes: stats.Homes}
	holds := []int{}
	for g, held := range stats.Held {
		if state.held[g] = held > 0.5; state.held[g] {
			holds = append(holds, g)
		}
	}
	if state != q.mu.logged {
		q.mu.logged = state
		q.log.Info("quota homes changed", "instances", stats.Instances, "homes", stats.Homes[:], "majorityOf", holds, "held", stats.Held[:])
	}
	if len(q.mu.refused) == 0 {
		return
	}
	list := make([]quotaRefusals, 0, len(q.mu.refused))
	total := q.mu.others
	for account, refused := range q.mu.refused {
		list = append(list, quotaRefusals{account, refused})
		total += refused
	}
	slices.SortFunc(list, func(a, b quotaRefusals) int { return b.Refused - a.Refused })
	q.log.Info("quota refusals", "refused", total, "accounts", len(list), "most", list[:min(len(list), maxLoggedAccounts)])
	q.mu.others = 0
	clear(q.mu.refused)
}

// addQuotaGauges adds the metrics of quotas.
func (n *Node) addQuotaGauges() {
	gauge := func(name string, read func(*quota.Stats) int64) {
		n.metrics.gauges[name] = func() int64 {
			n.quotas.mu.Lock()
			defer n.quotas.mu.Unlock()
			stats := n.quotas.mu.table.Stats(n.quotas.clock())
			return read(&stats)
		}
	}
	for verdict, name := range map[quota.Verdict]string{
		quota.Granted: "quota_granted", quota.Exceeded: "quota_refused_exceeded", quota.Unavailable: "quota_refused_unavailable",
	} {
		gauge(name, func(s *quota.Stats) int64 { return s.Decisions[verdict] })
	}
	gauge("quota_asks", func(s *quota.Stats) int64 { return s.Asks })
	gauge("quota_ask_frames", func(s *quota.Stats) int64 { return s.AskMessages })
	gauge("quota_asks_served", func(s *quota.Stats) int64 { return s.AsksServed })
	gauge("quota_renewals", func(s *quota.Stats) int64 { return s.Renewals })
	gauge("quota_tokens_returned", func(s *quota.Stats) int64 { return s.Returned })
	gauge("quota_instances", func(s *quota.Stats) int64 { return int64(s.Instances) })
	gauge("quota_accounts", func(s *quota.Stats) int64 { return int64(s.Accounts) })
	gauge("quota_buckets", func(s *quota.Stats) int64 { return int64(s.Buckets) })
	gauge("quota_parts_held_milli", func(s *quota.Stats) int64 {
		sum := 0.0
		for _, held := range s.Held {
			sum += held
		}
		return int64(1000 * sum)
	})
	gauge("quota_parts_delegated", func(s *quota.Stats) int64 {
		delegated := int64(0)
		for _, home := range s.Homes {
			if home != "" {
				delegated++
			}
		}
		return delegated
	})
}
