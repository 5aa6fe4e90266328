package quarantine

// maxProbationRuns bounds the suspects that one target runs at the same time.
const maxProbationRuns = 32

// Probation counts the suspects that run at one target.
type Probation struct {
	running int
	apart   bool // the one that runs must run apart from others
}

// Begin reports whether a suspect may run now, and records that it does. apart tells that it
// must not run beside other suspects.
func (p *Probation) Begin(apart bool) bool {
	if p.apart || apart && p.running > 0 || p.running >= maxProbationRuns {
		return false
	}
	p.running++
	p.apart = apart
	return true
}

// End records that a suspect's run has ended.
func (p *Probation) End() {
	p.running--
	p.apart = false
}
