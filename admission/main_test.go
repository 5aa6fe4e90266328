package admission_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run checks the same
// cases. The -rapid.seed flag overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
