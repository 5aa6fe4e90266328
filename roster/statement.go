package roster

// Statement is what a target states in a response for all nodes together. It concerns
// every request that any node sends, and stays true when the node that read it restarts.
type Statement struct {
	// HasRateLimit tells that the target limits the rate of its requests, to RateLimit
	// requests per second from all nodes together.
	HasRateLimit bool
	RateLimit    float64
	Leaving      bool  // the target is about to leave and wants no new requests
	Invalid      error // why a part of the statement can't be read; nil if all of it can
}
