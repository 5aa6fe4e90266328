package proof

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/attempt"
)

// fixRapid makes every run of the tests try the same cases, unless the command
// line says otherwise.
func fixRapid() {
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20260301", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// TestPotNeverGrows takes and gives back any numbers, as with answers that come
// twice or lie: what is left and what is under way never exceed the grant.
func TestPotNeverGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grant := rapid.IntRange(-2, 20).Draw(t, "grant")
		pot := attempt.NewAllowance(grant)
		taken, returned := 0, 0
		for range 30 {
			number := rapid.IntRange(-3, 30).Draw(t, "number")
			if rapid.Bool().Draw(t, "take") {
				taken += pot.Take(number)
			} else {
				before := pot.Left()
				pot.Return(number)
				returned += pot.Left() - before
			}
			if returned > taken {
				t.Fatalf("%d given back of %d taken", returned, taken)
			}
			if left := pot.Left(); left < 0 || left+taken-returned > max(grant, 0) {
				t.Fatalf("%d left and %d under way of a grant of %d", left, taken-returned, grant)
			}
		}
	})
}
