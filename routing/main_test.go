package routing_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property-based tests, so that every run has the
// same result. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
