// Package fixedseed runs the tests of a package with a fixed seed for property-based
// tests, so that each execution of them checks the same inputs.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests with a fixed seed of package rapid. TestMain must call it. Long
// runs with random seeds use go test -rapid.seed=0 -rapid.checks=10000.
func Main(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // flags on the command line take precedence, since Run parses them later
	os.Exit(m.Run())
}
