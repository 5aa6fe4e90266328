package attempt

// Pot holds the attempts that one call may still cause. The zero Pot is empty.
type Pot struct {
	left   int
	passed int // handed out and neither returned nor known to be spent
}

// NewPot returns a pot with a grant; a negative grant counts as none.
func NewPot(grant int) Pot { return Pot{left: max(grant, 0)} }

// Left returns the attempts that can still be taken.
func (p *Pot) Left() int { return p.left }

// Take takes up to n attempts and returns how many it got.
func (p *Pot) Take(n int) (granted int) {
	granted = min(max(n, 0), p.left)
	p.left -= granted
	p.passed += granted
	return granted
}

// Return gives back attempts that were taken and not spent. What exceeds the
// attempts that were taken is ignored, so the pot never outgrows its grant.
func (p *Pot) Return(unspent int) {
	returned := min(max(unspent, 0), p.passed)
	p.passed -= returned
	p.left += returned
}
