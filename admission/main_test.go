package admission_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the state machines, so that every run has the same
// verdict. The command line may set another one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
