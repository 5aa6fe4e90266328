package quota

import "time"

// Receive handles a message of a peer. It returns the messages to be sent, and the accounts
// whose waiting requests are to be decided again.
func (t *Table) Receive(now time.Duration, m *Message) (out []Outgoing, wake []string) {
	if m.From == t.instance {
		return nil, nil
	}
	t.countInstances(now, m.Instances)
	if m.Renewal != nil {
		out = append(out, Outgoing{m.From, t.renewed(now, m)})
	}
	if m.Ack != nil {
		out = append(out, t.acknowledged(now, m)...)
	}
	if len(m.Asks) > 0 {
		out = append(out, Outgoing{m.From, t.asked(now, m)})
	}
	if m.Answer != nil {
		wake = t.answered(now, m)
		out = append(out, t.flush(now)...)
	}
	return out, wake
}

// renewed handles a renewal as a home.
func (t *Table) renewed(now time.Duration, m *Message) *Message {
	r := m.Renewal
	last := t.senders[m.From]
	inOrder := m.Incarnation > last.incarnation || m.Incarnation == last.incarnation && m.Sent > last.sent
	if inOrder {
		t.senders[m.From] = sender{m.Incarnation, m.Sent, now + r.Term + growthMemory}
		expires := r.Stamp + r.Term - MaxValidity
		isValid := r.Incarnation == t.incarnation && r.Stamp > 0 && expires > now && !t.isStopping
		for g, h := range t.homes {
			d := delegation{}
			if isValid && r.Groups&(1<<g) != 0 {
				d = delegation{part: r.Part, expires: expires}
			}
			h.delegate(now, m.From, d)
		}
	}
	reply := t.message(now)
	reply.Ack = &Ack{Echo: m.Sent, Majority: t.majority(now), Stopping: t.isStopping}
	if r.WantHomes {
		reply.Ack.Homes = t.majorityHomes(now)
	}
	return reply
}

// majority returns the groups of which this node holds the majority of the parts.
func (t *Table) majority(now time.Duration) uint32 {
	set := uint32(0)
	for g, h := range t.homes {
		if h.advance(now); isMajority(h.sum) {
			set |= 1 << g
		}
	}
	return set
}

// majorityHomes returns by group which instance holds the majority of the parts, as far as this
// node knows.
func (t *Table) majorityHomes(now time.Duration) []string {
	own := t.majority(now)
	homes := make([]string, Groups)
	for g := range homes {
		if choice := t.peers[t.parts[g].choice]; own&(1<<g) != 0 {
			homes[g] = t.instance
		} else if choice != nil && choice.hasMajority(g) {
			homes[g] = t.parts[g].choice
		}
	}
	return homes
}

// acknowledged handles an ack. A home that has just stated its clock gets the parts that it is to
// hold at once: it couldn't accept them before.
func (t *Table) acknowledged(now time.Duration, m *Message) []Outgoing {
	p := t.peers[m.From]
	if p == nil || m.Incarnation < p.incarnation {
		return nil
	}
	ack := m.Ack
	if ack.Stopping {
		t.fail(now, p)
		for g := range t.parts {
			if t.parts[g].holder == m.From {
				t.leave(now, &t.parts[g])
			}
		}
		t.confirmed(now, m.From, now)
		return nil
	}
	isFirst := p.stamp == 0
	if p.acknowledged(now, m.Incarnation, m.Sent, ack.Echo, ack.Majority) {
		for g := range t.parts {
			if t.parts[g].holder == m.From {
				t.leave(now, &t.parts[g])
			}
		}
		t.confirmed(now, m.From, now) // the earlier process has ended, and its buckets with it
	} else {
		t.confirmed(now, m.From, ack.Echo)
	}
	for g, name := range ack.Homes {
		if g < Groups {
			t.parts[g].hinted = name
		}
	}
	if isFirst {
		p.hasRenewed = false // the next tick renews
	}
	return nil
}

// asked answers asks as a home.
func (t *Table) asked(now time.Duration, m *Message) *Message {
	reply := t.message(now)
	reply.Answer = &Answer{Echo: m.Sent, Grants: make([]Grant, 0, len(m.Asks))}
	for i := range m.Asks {
		t.stats.AsksServed++
		reply.Answer.Grants = append(reply.Answer.Grants, t.grant(now, &m.Asks[i]))
	}
	return reply
}

const (
	// minHold and holdPerInstance bound how often a node asks again after a refusal: all nodes
	// together at most once per holdPerInstance, on average.
	minHold         = 30 * time.Millisecond
	holdPerInstance = 500 * time.Microsecond
	maxHold         = 5 * time.Second
)

// grant grants what the account's bucket holds.
func (t *Table) grant(now time.Duration, a *Ask) Grant {
	g := Grant{Account: a.Account}
	limit, ok := t.limits[a.Account]
	h := t.homes[GroupOf(a.Account)]
	h.advance(now)
	if !ok || h.effective <= 0 {
		g.Unknown = true
		return g
	}
	b := h.bucket(now, a.Account, limit.Limit)
	b.returned(a.Returned, t.bounds)
	g.Valid, g.AheadValid = t.bounds.validity(limit.Limit)
	g.Tokens = max(min(a.Need, b.available()), 0)
	b.take(g.Tokens, g.Valid)
	g.Ahead = max(min(a.Want, b.available()/2), 0) // others ask, too
	b.take(g.Ahead, g.AheadValid)
	if g.Tokens < a.Need {
		hold := max(minHold, time.Duration(len(h.delegations))*holdPerInstance, b.untilNext())
		g.RetryAfter, g.Partial = min(hold, maxHold), !isMajority(h.sum)
	}
	return g
}
