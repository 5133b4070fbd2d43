package main

import (
	"bytes"
	"strings"
	"testing"
)

const settings = `{"membership_mode":"pushed","tick":5000000,"balancers":2,` +
	`"classes":[{"name":"read","aim":1000000000,"deadline":4000000000,"effect":"safe"}],` +
	`"domain":{"places":1,"in_a_row":1,"shards":1,"per_call":4}}`

// Two instances run in one process, and only the first is given a member list. If they shared state,
// the second would send its part too.
func TestInstancesShareNothing(t *testing.T) {
	in := "clock\t5\nfor\tbroker_0\ninit\t1\t" + settings + "\ninventory\t0\t1\nm\ts:1\tz\tk\t0\t1\t1\t-\n" +
		"backends_changed\t2\t0\t1\nfor\tbroker_1\ninit\t2\t" + settings + "\nflush\n" +
		"clock\t6\nfor\tbroker_0\norder\t7\tread\t-\t-\t900000000\t-\t1\t-1\t1\t0\n" +
		"order\t8\tread\t-\t-\t900000000\t-\t1\t0\t1\t0\nfor\tbroker_1\n" +
		"order\t9\tread\t-\t-\t900000000\t-\t1\t-1\t1\t0\norder\t10\tread\t-\t-\t900000000\t-\t1\t0\t1\t0\nflush\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if s := out.String(); strings.Count(s, "hand_off\t") != 1 || !strings.Contains(s, "hand_off\t8\ts:1\t") {
		t.Errorf("want one hand_off, from broker_0, which alone has a member list; have\n%s", s)
	}
}

func TestMalformedInputIsAnError(t *testing.T) {
	if err := run(strings.NewReader("clock\t1\nbogus\n"), &bytes.Buffer{}); err == nil {
		t.Error("malformed input gave no error")
	}
}
