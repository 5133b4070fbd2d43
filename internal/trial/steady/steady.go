// Package steady runs a package's tests so that its random ones give the same
// verdict every time.
package steady

import (
	"flag"
	"os"
	"testing"
)

// Main is for TestMain. Long runs with other seeds: go test -rapid.seed=0
// -rapid.checks=10000.
func Main(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // the command line wins: Run parses it later
	os.Exit(m.Run())
}
