package quota

import "time"

// Message is what two nodes tell each other. The fields of the first block are always set. All
// times are by the boot clock of the node that is named.
type Message struct {
	From        string // instance
	Incarnation int64  // of the sender's process
	Sent        time.Duration
	Instances   int    // that the sender knows
	Version     uint64 // of the sender's configuration

	Renewal *Renewal `json:",omitempty"`
	Ack     *Ack     `json:",omitempty"`
	Asks    []Ask    `json:",omitempty"`
	Answer  *Answer  `json:",omitempty"`
}

// Renewal delegates the sender's parts of the groups to the receiver, in place of all that it
// delegated before. Without groups it asks whether the receiver answers, and withdraws.
type Renewal struct {
	Incarnation int64         // of the receiver, as its latest ack stated; 0 if unknown
	Stamp       time.Duration // of that ack, by the receiver's clock
	Term        time.Duration // from Stamp
	Part        Part          // of the quotas of each group
	Groups      uint32        // bit set
	WantHomes   bool          // asks for Ack.Homes
}

// Ack answers a renewal. A node that stops sends one unasked.
type Ack struct {
	Echo     time.Duration // Sent of the renewal, by the receiver's clock
	Majority uint32        // groups of which the sender holds the majority of the parts
	Stopping bool          // the sender holds no parts any more and takes none
	Homes    []string      // by group, which home the sender knows to hold the majority, "" if none
}

// Ask asks for tokens of one account.
type Ask struct {
	Account  string
	Need     int // for requests that wait
	Want     int // further ones that are expected soon
	Returned int // tokens whose requests ended without a start
}

// Answer answers the asks of one message.
type Answer struct {
	Echo   time.Duration // Sent of the asks, by the receiver's clock
	Grants []Grant
}

// Grant answers one ask.
type Grant struct {
	Account string
	Tokens  int           // for requests that wait
	Valid   time.Duration // from when the ask was sent
	// Ahead is the number of further tokens, and AheadValid for how long they are valid.
	Ahead      int
	AheadValid time.Duration
	// RetryAfter is when to ask again after a refusal, 0 if nothing was refused.
	RetryAfter time.Duration
	Unknown    bool // the sender has no part of the account's quota
	// Partial tells that the sender doesn't hold the majority of the parts, so that a refusal
	// doesn't show that the quota is exceeded.
	Partial bool
}

// Outgoing is a message and the instance that it is for.
type Outgoing struct {
	To      string
	Message *Message
}
