package wire

import (
	"bytes"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"eiderwinch"
)

const settings = `{"az":"z1","parties":[{"name":"ann","share":0.4,"quota_rps":3},{"name":"bob","share":0.6}],"over_share_worth":0.2,"balancers":2,"membership_mode":"pushed","tick":5000000,"unknown":{"x":1},` +
	`"classes":[{"name":"read","aim":1000,"deadline":4000,"effect":"safe","late_worth":0.5,"worth":2}],` +
	`"domain":{"places":4,"in_a_row":2,"shards":8,"per_call":4,"call_cost":60,"whole_at":[0.67],"floor_by_class":[0.5]},` +
	`"policy_limits":{"attempts_cap":3},"rules":{"cold":7}}`

const startMessages = "clock\t5\nfor\tbroker_1\ninit\t9\t" + settings + "\n"

// readBatch reads the first batch of text.
func readBatch(t *testing.T, text string) (MessageBatch, error) {
	t.Helper()
	return NewReader(strings.NewReader(text)).Next()
}

func TestBatch(t *testing.T) {
	b, err := readBatch(t, startMessages+
		"inventory\t0\t2\nm\t10.0.0.1:1\tz1\tstd\t3\t1\t1\t-\nm\t10.0.0.2:1\tz2\tstd\t0\t2\t1\t44\textra\n"+
		"backends_changed\t2\t0\t41\n"+
		"order\t7\tread\tbob\tk-1\t900\t-\t214\t-1\t2\t2\n"+
		"order\t8\tread\t-\tk-1\t900\t-\t214\t5\t0.5\t2\n"+
		"order\t9\tread\t-\tk-1\t900\t-\t214\t6\t0.5\t2\n"+
		"attempt_end\t3\t1\t10.0.0.1:1\tNOCONN\t12\t1\tcpu:0.5\n"+
		"dropped\t4\nring\t0\nflush\n")
	if err != nil {
		t.Fatal(err)
	}
	if b.Clock != 5 || len(b.Inputs) != 1 {
		t.Fatalf("batch %+v", b)
	}
	want := []eiderwinch.Event{
		eiderwinch.ListChange{Kind: eiderwinch.Stale, Replicas: []eiderwinch.Replica{
			{ID: "10.0.0.1:1", Zone: "z1", Cell: 3, State: eiderwinch.Ready},
			{ID: "10.0.0.2:1", Zone: "z2", State: eiderwinch.Draining, Started: 44},
		}},
		eiderwinch.Query{ID: 7, Key: "k-1", Left: 900, Repeat: true, Tenant: 2, Parts: []eiderwinch.Part{
			{ID: 8, Shard: 5, Weight: 0.5}, {ID: 9, Shard: 6, Weight: 0.5},
		}},
		eiderwinch.Outcome{Part: 3, Attempt: 1, Replica: "10.0.0.1:1", Status: eiderwinch.NoConnection, Took: 12},
		eiderwinch.Gone{Query: 4},
		eiderwinch.Woken{},
	}
	if !reflect.DeepEqual(b.Inputs[0].Events, want) {
		t.Errorf("have %+v\nwant %+v", b.Inputs[0].Events, want)
	}
	s := b.Inputs[0].Init
	if s == nil || s.Seed != 9 || s.Zone != "z1" || s.Cells != 4 || s.Classes[0].WholeShare != 0.67 ||
		s.Classes[0].PartialWorth != 1 || s.ColdDuration != 7 || len(s.Tenants) != 2 || s.Tenants[1].Share != 0.6 || s.OverShareWorth != 0.2 || s.Tick != 5*time.Millisecond {
		t.Errorf("settings %+v", s)
	}
}

// The simulator sends the parts of a second step in a later batch, under the number of their query. They must
// become one SecondStep, and parts that come after it must not become another.
func TestSecondStepPartsArriveUnderTheirQuery(t *testing.T) {
	text := strings.Replace(startMessages, `"domain":{`, `"domain":{"class_fetch":[1],`, 1)
	r := NewReader(strings.NewReader(text +
		"order\t7\tread\t-\t-\t900\t-\t214\t-1\t1\t0\norder\t8\tread\t-\t-\t900\t-\t214\t5\t1\t0\nflush\n" +
		"clock\t6\nfor\tbroker_1\norder\t9\tread\t-\t-\t900\t-\t214\t5\t1\t0\nflush\n" +
		"clock\t7\nfor\tbroker_1\norder\t10\tread\t-\t-\t900\t-\t214\t5\t1\t0\nflush\n"))
	want := [][]eiderwinch.Event{
		{eiderwinch.Query{ID: 7, Left: 900, Parts: []eiderwinch.Part{{ID: 8, Shard: 5, Weight: 1}}}},
		{eiderwinch.SecondStep{Query: 7, Parts: []eiderwinch.Part{{ID: 9, Shard: 5, Weight: 1}}}},
		nil, // the query is over, so its part is ignored
	}
	for i, events := range want {
		b, err := r.Next()
		if err != nil || !reflect.DeepEqual(b.Inputs[0].Events, events) {
			t.Errorf("batch %d: have %+v, %v; want %+v", i, b.Inputs[0].Events, err, events)
		}
	}
}

// Messages that were not requested, unknown tenants and unknown fields must not be errors.
func TestUnusedInputIsIgnored(t *testing.T) {
	b, err := readBatch(t, startMessages+
		"status_back\t10.9.9.9:1\tGOOD\t12\tcpu:0.5,avg_ms:7\nstatus_back\t10.0.0.1:1\tNOCONN\t12\t-\n"+
		"message\t3\t6869\nfirst\t8\t12\t10.0.0.1:1\t0\n"+
		"order\t7\tread\tnobody\t-\t900\t-\t214\t-1\t0\t0\nflush\n")
	if err != nil {
		t.Fatal(err)
	}
	want := []eiderwinch.Event{eiderwinch.Query{ID: 7, Left: 900}} // its tenant is unknown and it has no parts
	if !reflect.DeepEqual(b.Inputs[0].Events, want) {
		t.Errorf("have %+v\nwant %+v", b.Inputs[0].Events, want)
	}
	s, err := ParseSettings([]byte(`{"membership_mode":"pushed","domain":{"places":1,"in_a_row":1,"shards":1,"class_fetch":[2]},` +
		`"classes":[{"name":"a","aim":1,"deadline":1,"effect":"safe"},{"name":"b","aim":1,"deadline":1,"effect":"safe"}]}`))
	if err != nil || len(s.Tenants) != 0 || s.Classes[0].SecondStepParts != 2 || s.Classes[1].SecondStepParts != 0 {
		t.Errorf("settings %+v, %v", s, err)
	}
}

// A halt ends the instance, so events that came before it in the batch must not reach a later start.
func TestHaltDiscardsEarlierInput(t *testing.T) {
	b, err := readBatch(t, startMessages+"ring\t0\nfor\tbroker_2\ninit\t1\t"+settings+"\nfor\tbroker_1\nhalt\nflush\n")
	if err != nil {
		t.Fatal(err)
	}
	if in := b.Inputs[0]; len(b.Inputs) != 2 || !in.Halted || in.Init != nil || in.Events != nil {
		t.Errorf("inputs %+v", b.Inputs)
	}
}

func TestMalformedLinesAreReported(t *testing.T) {
	for text, want := range map[string]string{
		"flush\n":                               "want clock",
		"clock\tx\n":                            "malformed clock",
		"clock\t1\n":                            "ends inside a batch",
		"clock\t1\nring\t0\n":                   "no instance",
		"clock\t1\nfor\ta\nring\t":              "truncated line",
		"clock\t1\nfor\ta\nring\t0\nflush\n":    "not started",
		"clock\t1\nfor\ta\ninit\t1\t{\nflush\n": "settings",
		startMessages + "bogus\t1\nflush\n":     "unknown message",
		startMessages + "dropped\tx\nflush\n":   "want an unsigned integer",
		startMessages + "order\t7\tnone\t-\t-\t9\t-\t1\t-1\t2\t0\nflush\n":        "unknown class",
		startMessages + "order\t7\tread\t-\t-\t9\t-\t1\t2\t0.5\t0\nflush\n":       "without its query",
		startMessages + "attempt_end\t3\t1\tn\tODD\t12\t1\t-\nflush\n":            "unknown attempt status",
		startMessages + "backends_changed\t9\t0\t1\nflush\n":                      "unknown kind",
		startMessages + "backends_changed\t1\t3\t1\nflush\n":                      "no inventory",
		startMessages + "inventory\t0\t1\nm\ta\tz\tk\tc\t1\t1\t-\nflush\n":        "want an integer",
		strings.Replace(startMessages, `"safe"`, `"odd"`, 1) + "flush\n":          "unknown effect",
		strings.Replace(startMessages, `"places":4`, `"places":0`, 1) + "flush\n": "above 0",
		strings.Replace(startMessages, `"pushed"`, `"smoke"`, 1) + "flush\n":      "membership_mode",
	} {
		if _, err := readBatch(t, text); err == nil || err == io.EOF || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: have %v, want %q", text, err, want)
		}
	}
}

func TestReply(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	w.WriteActions("broker_2", nil)
	w.WriteActions("broker_1", []eiderwinch.Action{
		eiderwinch.Send{Part: 3, Replica: "n:1", TimeOut: 80}, eiderwinch.Cancel{Part: 3, Attempt: 1},
		eiderwinch.Answer{Query: 1, Whole: true}, eiderwinch.Answer{Query: 2}, eiderwinch.Refuse{Query: 4, RetryAfter: 5},
		eiderwinch.Fail{Query: 6}, eiderwinch.Subscribe{}, eiderwinch.Wake{After: 7}, eiderwinch.Log{Text: "a b"},
		eiderwinch.Disconnect{Replica: "n:1"},
	})
	if err := w.EndReply(); err != nil {
		t.Fatal(err)
	}
	want := "from\tbroker_1\nhand_off\t3\tn:1\t80\nrecall\t3\t1\nconclude\t1\t1\nconclude\t2\t0\nsay_no\t4\t5\n" +
		"drop_request\t6\nlisten\t1\nschedule\t7\t0\nlog\ta b\nfree_links\tn:1\nnext\n"
	if out.String() != want {
		t.Errorf("have %q\nwant %q", out.String(), want)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(startMessages + "order\t7\tread\t-\tk\t900\t-\t214\t-1\t2\t2\nflush\nclock\t6\nfor\tbroker_1\nhalt\nflush\n")
	f.Add("clock\t1\nfor\ta\ninventory\t0\t1\nm\ta\tz\tk\t1\t1\t1\t-\nflush\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text))
		for range 100 {
			if _, err := r.Next(); err != nil {
				if err.Error() == "" {
					t.Error("an error without a message")
				}
				return
			}
		}
	})
}
