package membership

// Counters are what a table counts, for the metrics.
type Counters struct {
	Members     uint64 // live now
	Suspects    uint64 // now
	Dead        uint64 // held now
	NewsWaiting uint64 // claims to spread now

	PacketsSent     uint64
	PacketsReceived uint64
	BytesSent       uint64 // payload of UDP
	BadPackets      uint64
	OwnPackets      uint64 // that came back to their sender
	EncodeErrors    uint64
	RefusedMembers  uint64 // because the table is full
	Probes          uint64
	ProbeFailures   uint64
	Deaths          uint64
	Refutations     uint64 // claims about the node itself that it contradicted
	Replaced        uint64 // members ended by a new instance at their address
	EndedByOthers   uint64 // claims that another instance has the node's address
	Pauses          uint64
	Syncs           uint64
	Snapshots       uint64
}
