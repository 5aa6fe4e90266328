package membership

// Counters holds the counts of a table, for metrics. The fields up to UpdatesQueued
// are current values, the others totals since the start.
type Counters struct {
	Members       uint64 // live
	Suspects      uint64
	Dead          uint64 // dead and not removed yet
	UpdatesQueued uint64

	PacketsSent     uint64
	PacketsReceived uint64
	BytesSent       uint64 // UDP payload
	BadPackets      uint64
	OwnPackets      uint64 // packets that the node itself had sent
	EncodeErrors    uint64
	RefusedMembers  uint64 // because the table was full
	Probes          uint64
	ProbeFailures   uint64
	Deaths          uint64
	Refutations     uint64 // claims about the node itself that it refuted
	ReplacedMembers uint64 // members marked as left because another instance has their address
	SelfLeftClaims  uint64 // claims that the node itself has left, because another instance has its address
	Pauses          uint64
	Syncs           uint64
	Snapshots       uint64
}
