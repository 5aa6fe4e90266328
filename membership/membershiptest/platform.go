package membershiptest

import (
	"maps"

	"github.com/gypsumford/gypsumford/epoch"
)

// Platform simulates the platform's store with the configuration and the seed objects.
type Platform struct {
	Down     bool
	Epoch    epoch.ID
	Version  epoch.Version
	Document []byte
	Calls    int // reads and writes, including those that failed

	seeds map[string][]byte // values of the seed objects by key
}

// Put stores a new configuration document and returns its version.
func (p *Platform) Put(document []byte) epoch.Version {
	p.Version = epoch.NewVersion(p.Epoch, p.Version.Number()+1)
	p.Document = document
	return p.Version
}

// PlatformCopy is a copy of the platform's objects.
type PlatformCopy struct {
	version  epoch.Version
	document []byte
	seeds    map[string][]byte
}

// Copy returns a copy of the platform's objects.
func (p *Platform) Copy() PlatformCopy {
	return PlatformCopy{p.Version, p.Document, maps.Clone(p.seeds)}
}

// Restore replaces the platform's objects by the copy and begins a new epoch.
func (p *Platform) Restore(from PlatformCopy) {
	p.Epoch++
	p.Version, p.Document, p.seeds = from.version, from.document, map[string][]byte{}
	maps.Copy(p.seeds, from.seeds)
}
