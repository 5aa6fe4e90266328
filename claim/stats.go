package claim

import (
	"maps"

	"github.com/gypsumford/gypsumford/call"
)

// Stats counts what a home did since it was made.
type Stats struct {
	Asked     uint64
	Runs      uint64
	Completed uint64 // runs whose complete answer came back
	Replies   uint64 // repeats that got the first run's answer
	Unknown   uint64
	Refused   map[call.Reason]uint64

	Reads         uint64 // platform reads started
	Writes        uint64 // platform writes started
	WrittenClaims uint64 // claims in those writes
	WrittenBytes  uint64
	Conflicts     uint64 // writes that found another version
	Unsettled     uint64 // writes without an answer
	Rejected      uint64 // writes that the platform refused for good
	Corrupt       uint64 // objects that could not be understood
}

// Stats returns the counts so far.
func (h *Home) Stats() Stats {
	stats := h.stats
	stats.Refused = maps.Clone(h.stats.Refused)
	return stats
}
