package membershiptest

// Platform stands for the object of the configuration on the platform.
type Platform struct {
	Down     bool
	Version  uint64
	Document []byte
	Calls    int // reads that were answered or refused

	seeds map[string][]byte
}

// Put stores a new document and returns its version.
func (p *Platform) Put(document []byte) uint64 {
	p.Version++
	p.Document = document
	return p.Version
}
