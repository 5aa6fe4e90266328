package claim_test

import (
	"flag"
	"os"
	"testing"
)

// These make every run of the tests try the same cases. Flags on the command
// line take their place; a seed of 0 draws a new one each time.
const (
	fixedSeed   = "20260301"
	fixedChecks = "4000"
	fixedSteps  = "60"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setUnlessGiven("rapid.seed", fixedSeed)
	setUnlessGiven("rapid.checks", fixedChecks)
	setUnlessGiven("rapid.steps", fixedSteps)
	setUnlessGiven("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func setUnlessGiven(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
