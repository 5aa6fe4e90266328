package proof

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/attempt"
)

// setRapidDefaults fixes the seed of rapid, so that every run of the tests checks the same
// cases, and turns its failure files off. Flags on the command line take precedence.
func setRapidDefaults() {
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20260301", "rapid.nofailfile": "true"} {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// TestAllowanceNeverGrows takes and returns arbitrary numbers of attempts, as replies that
// arrive twice or state wrong numbers would. The attempts left and those in flight must
// never exceed the grant, or a root request would cause more attempts than allowed.
func TestAllowanceNeverGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grant := rapid.IntRange(-2, 20).Draw(t, "grant")
		allowance := attempt.NewAllowance(grant)
		taken, returned := 0, 0
		for range 30 {
			number := rapid.IntRange(-3, 30).Draw(t, "number")
			if rapid.Bool().Draw(t, "take") {
				taken += allowance.Take(number)
			} else {
				before := allowance.Left()
				allowance.Return(number)
				returned += allowance.Left() - before
			}
			if returned > taken {
				t.Fatalf("%d attempts returned of %d taken", returned, taken)
			}
			if left := allowance.Left(); left < 0 || left+taken-returned > max(grant, 0) {
				t.Fatalf("%d attempts left and %d in flight of a grant of %d", left, taken-returned, grant)
			}
		}
	})
}
