package attempt

// Allowance holds the attempts that one call may still cause. The zero Allowance is
// empty.
type Allowance struct {
	left        int
	outstanding int // taken and not returned
}

// NewAllowance returns an allowance of grant attempts; a negative grant counts as 0.
func NewAllowance(grant int) Allowance { return Allowance{left: max(grant, 0)} }

// Left returns the attempts that can still be taken.
func (a *Allowance) Left() int { return a.left }

// Take takes up to n attempts and returns how many it got.
func (a *Allowance) Take(n int) (granted int) {
	granted = min(max(n, 0), a.left)
	a.left -= granted
	a.outstanding += granted
	return granted
}

// Return gives back attempts that were taken and not spent. It ignores attempts in
// excess of those taken, so the allowance never exceeds its grant.
func (a *Allowance) Return(unspent int) {
	returned := min(max(unspent, 0), a.outstanding)
	a.outstanding -= returned
	a.left += returned
}
