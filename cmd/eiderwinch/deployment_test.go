package main

import (
	"strings"
	"testing"

	"eiderwinch/internal/trial/fake"
)

// startDeployment starts a fake deployment that is stopped when the test ends. WIRE, rule 1: "A `hand_off` for a part that is over [...] breaks
// the rule", which each test with a deployment checks by what the searchers have received and answered.
func startDeployment(t *testing.T, options fake.DeploymentOptions) *fake.Deployment {
	t.Helper()
	d, err := fake.NewDeployment(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = d.Close()
		if violations := d.Audit.Violations(); len(violations) > 0 {
			t.Errorf("sent after an answer:\n%s", strings.Join(violations, "\n"))
		}
	})
	return d
}
