package quota

import "time"

// Stats counts what a table did, and states what it holds.
type Stats struct {
	Decisions   [len(verdictNames)]int64 // by verdict; requests that wait count once, at the end
	Asks        int64                    // for single accounts
	AskMessages int64
	AsksServed  int64 // as a home, of peers
	Renewals    int64
	Returned    int64 // tokens
	Instances   int   // by which the own part is computed
	Accounts    int   // as an entry
	Buckets     int   // as a home
	// Held is the part of the quotas of each group that this node holds as a home, and Homes
	// the instance that holds the node's own part, "" if none does.
	Held  [Groups]float64
	Homes [Groups]string
}

// Stats returns the counts since the start and the state now.
func (t *Table) Stats(now time.Duration) Stats {
	s := t.stats
	s.Instances, s.Accounts = t.instances, len(t.entries)
	for g, h := range t.homes {
		h.advance(now)
		s.Held[g], s.Homes[g] = h.sum, t.parts[g].holder
		s.Buckets += len(h.buckets)
	}
	return s
}
