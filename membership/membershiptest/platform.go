package membershiptest

// Platform simulates the platform's store with the configuration and the seed objects.
type Platform struct {
	Down     bool
	Version  uint64
	Document []byte
	Calls    int // reads and writes, including those that failed

	seeds map[string][]byte // values of the seed objects by key
}

// Put stores a new configuration document and returns its version.
func (p *Platform) Put(document []byte) uint64 {
	p.Version++
	p.Document = document
	return p.Version
}
