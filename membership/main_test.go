package membership_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the state machines a fixed seed, so that each run has the same
// verdict, unless the command line sets one (make fuzz does).
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
