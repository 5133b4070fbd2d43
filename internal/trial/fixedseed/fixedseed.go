// Package fixedseed runs the tests of a package with a fixed seed for property-based
// tests, so that each execution of them checks the same inputs.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests with a fixed seed of rapid; call it from TestMain. For long runs
// with random seeds use go test -rapid.seed=0 -rapid.checks=10000.
func Main(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // the command line takes precedence: Run parses it later
	os.Exit(m.Run())
}
