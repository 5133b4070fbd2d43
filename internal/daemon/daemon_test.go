package daemon

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"eiderwinch/internal/format/config"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/stats"
	"eiderwinch/internal/trial/testpeer"
)

// Classes, tenants and limits come from the settings only: the program must not assume any of them. Each case sets
// one of them to a value that changes what the gatherer does, and states what a client then receives.
func TestSettingsDetermineAnswers(t *testing.T) {
	const base = `{"membership_mode":"pushed","balancers":1,"domain":{"places":1,"in_a_row":1,"shards":4,"per_call":4},
		"classes":[{"name":"one","aim":60000000000,"deadline":60000000000,"effect":"safe","worth":1},
		           {"name":"two","aim":60000000000,"deadline":60000000000,"effect":"safe","worth":1}],
		"policy_limits":{"cancel":true,"attempts_cap":4,"retry_after":true,"max_retry_after":1000000000}}`
	replace := func(pairs ...string) string {
		text := strings.NewReplacer(pairs...).Replace(base)
		if text == base && len(pairs) > 0 {
			t.Fatalf("%q does not change the settings", pairs)
		}
		return text
	}
	const effect = `"name":"two","aim":60000000000,"deadline":60000000000,"effect":"safe"`
	withEffect := func(effect string) string {
		return `"name":"two","aim":60000000000,"deadline":60000000000,"repeat_window":60000000000,"effect":"` + effect + `"`
	}
	const withinTenthOfSecond = `"name":"two","aim":100000000,"deadline":100000000,"effect":"safe"`
	// A searcher that can't be reached within a third of the shortest aim is called again after half the aim of the query.
	const first, firstWithShortAim = `"name":"one","aim":60000000000`, `"name":"one","aim":2000000000`
	serve := func(t *testing.T, s *testpeer.Searcher, parts int) {
		for range parts {
			testpeer.Receive(t, s.Parts, "a part").Answer("served", 1, "v")
		}
	}
	served := func(parts int) func(*testing.T, *testpeer.Searcher) {
		return func(t *testing.T, s *testpeer.Searcher) { serve(t, s, parts) }
	}
	fails := func(end string, then int) func(*testing.T, *testpeer.Searcher) {
		return func(t *testing.T, s *testpeer.Searcher) {
			testpeer.Receive(t, s.Parts, "a part").Answer(end, 0, "")
			serve(t, s, then)
		}
	}
	silent := func(t *testing.T, s *testpeer.Searcher) { testpeer.Receive(t, s.Parts, "a part") }
	nothing := func(*testing.T, *testpeer.Searcher) {}
	for name, c := range map[string]struct {
		settings string
		class    string
		expires  time.Duration
		parts    int
		do       func(*testing.T, *testpeer.Searcher)
		status   int
		want     string // in the body
	}{
		"the base settings":              {base, "two", time.Minute, 2, served(2), 200, `"full":true`},
		"an unknown class":               {base, "three", time.Minute, 1, nothing, 404, `"three"`},
		"a class that was renamed":       {replace(`"name":"two"`, `"name":"Größe/2"`), "two", time.Minute, 1, nothing, 404, ""},
		"no class at all":                {`{"membership_mode":"pushed","domain":{"places":1,"in_a_row":1,"shards":4}}`, "one", time.Minute, 1, nothing, 404, ""},
		"no limits named":                {`{"membership_mode":"pushed","domain":{"places":1,"in_a_row":1,"shards":4},"classes":[{"name":"one","aim":1000000000,"deadline":60000000000,"effect":"safe"}]}`, "one", time.Minute, 1, served(1), 200, `"full":true`},
		"a member list on request":       {replace(`"pushed"`, `"on_request"`), "two", time.Minute, 1, served(1), 200, `"full":true`},
		"a second step":                  {replace(`"per_call":4`, `"per_call":4,"class_fetch":[0,2]`), "two", time.Minute, 3, served(5), 200, `"full":true`},
		"a class without a second step":  {replace(`"per_call":4`, `"per_call":4,"class_fetch":[0,2]`), "one", time.Minute, 3, served(3), 200, `"full":true`},
		"a second step above all shards": {replace(`"per_call":4`, `"per_call":4,"class_fetch":[0,99]`), "two", time.Minute, 2, served(4), 200, `"full":true`},
		"one part a call":                {replace(`"per_call":4`, `"per_call":1`), "two", time.Minute, 4, served(4), 200, `"full":true`},
		"one part a connection":          {replace(`"cancel":true`, `"cancel":true,"multiplex":1`), "two", time.Minute, 4, served(4), 200, `"full":true`},
		"one attempt, fails":             {replace(`"attempts_cap":4`, `"attempts_cap":1`), "two", time.Minute, 1, fails("broke", 0), 503, ""},
		"one attempt, keyed, fails":      {replace(`"attempts_cap":4`, `"attempts_cap":1`, effect, withEffect("keyed")), "two", time.Minute, 1, fails("broke", 0), 502, ""},
		"two attempts, one fails":        {replace(`"attempts_cap":4`, `"attempts_cap":2`), "two", time.Minute, 1, fails("broke", 1), 200, `"full":true`},
		"keyed, one attempt fails":       {replace(effect, withEffect("keyed")), "two", time.Minute, 1, fails("broke", 1), 200, `"full":true`},
		"unsafe, one attempt fails":      {replace(effect, withEffect("unsafe")), "two", time.Minute, 1, fails("broke", 0), 502, ""},
		"unsafe, one attempt skipped":    {replace(effect, withEffect("unsafe")), "two", time.Minute, 1, fails("skipped", 1), 200, `"full":true`},
		"keyed without a window":         {replace(effect, `"name":"two","aim":60000000000,"deadline":60000000000,"effect":"keyed"`), "two", time.Minute, 1, fails("broke", 0), 502, ""},
		"a window shorter than a tick":   {replace(effect, `"name":"two","aim":60000000000,"deadline":60000000000,"repeat_window":1000000,"effect":"keyed"`), "two", time.Minute, 1, fails("broke", 0), 502, ""},
		"no room for any query":          {replace(`"cancel":true`, `"cancel":true,"max_open":1`), "two", time.Minute, 1, nothing, 503, ""},
		"room for nothing, no advice":    {replace(`"cancel":true`, `"cancel":true,"max_open":1`, `"retry_after":true`, `"retry_after":false`), "two", time.Minute, 1, nothing, 503, ""},
		"one attempt, no retry advice":   {replace(`"attempts_cap":4`, `"attempts_cap":1`, `"retry_after":true`, `"retry_after":false`), "two", time.Minute, 1, fails("broke", 0), 503, ""},
		"room for one part":              {replace(`"cancel":true`, `"cancel":true,"max_open":2`), "two", time.Minute, 1, served(1), 200, `"full":true`},
		"a deadline of 100 ms, served":   {replace(effect, withinTenthOfSecond, first, firstWithShortAim), "two", 100 * time.Millisecond, 1, served(1), 200, `"full":true`},
		"a deadline of 100 ms, silent":   {replace(effect, withinTenthOfSecond, first, firstWithShortAim), "two", 100 * time.Millisecond, 1, silent, 503, ""},
		"100 ms, keyed, silent":          {replace(effect, withEffect("keyed"), first, firstWithShortAim), "two", 100 * time.Millisecond, 1, silent, 502, ""},
		"an aim shorter than a tick":     {replace(`"aim":60000000000`, `"aim":1000000`), "two", time.Minute, 1, nothing, 503, ""},
		"half suffices, half is served":  {replace(`"per_call":4`, `"per_call":4,"floor_by_class":[1,0.5],"class_partial":[1,0.9]`, `"attempts_cap":4`, `"attempts_cap":1`), "two", time.Minute, 2, fails("broke", 1), 200, `"full":false`},
		"all required, half is served":   {replace(`"attempts_cap":4`, `"attempts_cap":1`), "two", time.Minute, 2, fails("broke", 1), 503, ""},
		"half counts as whole":           {replace(`"per_call":4`, `"per_call":4,"whole_at":[1,0.5],"floor_by_class":[1,0.5]`), "two", time.Minute, 2, served(1), 200, `"full":true`},
		"a tenant that is not listed":    {replace(`"policy_limits"`, `"over_share_worth":0.1,"parties":[{"name":"x","share":1}],"policy_limits"`), "two", time.Minute, 1, served(1), 200, `"full":true`},
		"connections closed after 1 ms":  {replace(`"cancel":true`, `"cancel":true,"conn_idle":1000000`), "two", time.Minute, 2, served(2), 200, `"full":true`},
		"no cancellation":                {replace(`"cancel":true`, `"cancel":false`), "two", time.Minute, 2, served(2), 200, `"full":true`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, d := testpeer.NewSearcher(t), testpeer.NewDiscovery(t)
			cfg, err := config.Parse([]byte(fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"known":{"members":[%s]},"settings":%s}`,
				d.Addr, testpeer.Member("s", s.Addr, "Ready", 0), c.settings)))
			if err != nil {
				t.Fatal(err)
			}
			n := New(cfg, Options{}, stats.New(), slog.New(slog.DiscardHandler))
			addr := run(t, n)
			if c.expires < time.Second {
				openSearcherConn(t, addr, s)
			}
			client := testpeer.NewClient(t, addr).Send(testpeer.Query(c.class, "t", c.expires, c.parts))
			c.do(t, s)
			resp, body := client.ReadResponse()
			if resp.StatusCode != c.status || !strings.Contains(body, c.want) {
				t.Errorf("have %s %s, want %d with %s", resp.Status, body, c.status, c.want)
			}
			if advice := resp.Header.Get("Retry-After"); advice != "" && !strings.Contains(c.settings, `"retry_after":true`) {
				t.Errorf("Retry-After is %s s, want none: the settings do not enable retry_after", advice)
			}
			if len(s.Parts) > 0 {
				t.Error("more parts were sent than expected")
			}
		})
	}
}

// openSearcherConn has a query of the class "one" served, which has a minute. A connection to the searcher is open then: on a
// busy machine the dial takes longer than the queries that this is called for may wait for it.
func openSearcherConn(t *testing.T, addr string, s *testpeer.Searcher) {
	t.Helper()
	client := testpeer.NewClient(t, addr).Send(testpeer.Query("one", "first", time.Minute, 1))
	testpeer.Receive(t, s.Parts, "the first part").Answer("served", 1, "v")
	if resp, body := client.ReadResponse(); resp.StatusCode != 200 {
		t.Fatalf("have %s %s, want the first query served", resp.Status, body)
	}
}

// run starts a gatherer and returns its address. When the test ends, the gatherer must drain without an error.
func run(t *testing.T, n *netio.Node) string {
	ended := make(chan error, 1)
	go func() { ended <- n.Run() }()
	testpeer.Receive(t, n.Started(), "the start")
	t.Cleanup(func() {
		n.Drain()
		if err := testpeer.Receive(t, ended, "the end"); err != nil {
			t.Error(err)
		}
	})
	return n.Addr()
}
