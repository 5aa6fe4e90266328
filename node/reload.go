package node

import "github.com/gypsumford/gypsumford/retrybudget"

// Reload applies the settings that may change while the node runs: the drain time and
// the retry budget. Changes of other settings need a restart.
func (n *Node) Reload(s *Settings) {
	n.delivery.setDrainTime(s.DrainTime)
	n.tables.setRetryBudget(s.RetryBudget)
	n.retries.configure(s.RetryBudget)
	n.whole.configure(s.RetryBudget)
	restart := s.CallerAddress != n.settings.CallerAddress || s.PeerAddress != n.settings.PeerAddress ||
		s.Service != n.settings.Service || s.TargetAddress != n.settings.TargetAddress
	n.log.Info("settings reloaded", "drainS", s.DrainTime.Seconds(), "retryRatio", s.RetryBudget.Ratio,
		"retrySlack", s.RetryBudget.Slack, "needsRestart", restart)
}

func (t *tables) setRetryBudget(c retrybudget.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.retryBudget.Configure(c)
}
