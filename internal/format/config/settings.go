package config

import (
	"encoding/json"
	"fmt"
	"time"

	"eiderwinch"
)

// Settings is the settings object of the config file, which the simulator
// hands to its instances in the same form.
type Settings struct {
	Module eiderwinch.Settings // what the decisions need
	Limits Limits              // what the gatherer round them needs
}

// Limits holds what a real gatherer keeps to beside the decisions.
type Limits struct {
	Tick           time.Duration // turns come at most this often
	MaxOpen        int           // queries and parts held at once; 0 means no limit
	Multiplex      int           // parts that one connection carries at once
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // searchers close connections idle for so long
	DrainGrace     time.Duration // sends to a draining or gone searcher must end by then
	AnswerSlack    time.Duration // a final answer may be so late
}

// withoutSeed returns the settings but for the seed, which is new in each file.
func (s Settings) withoutSeed() Settings {
	s.Module.Seed = 0
	return s
}

// Defaults for settings that may be absent.
const (
	defaultTick           = 5 * time.Millisecond
	defaultMultiplex      = 32
	defaultConnectTimeout = 250 * time.Millisecond
	defaultConnIdle       = 30 * time.Second
	defaultDrainGrace     = 500 * time.Millisecond
	defaultAnswerSlack    = 20 * time.Millisecond
)

// nanos is a time span in the settings: whole nanoseconds.
type nanos = int64

// settings is the part of the settings object that is used.
type settings struct {
	Zone     string `json:"az"`
	Brokers  int    `json:"balancers"`
	Number   int    `json:"my_number"`
	ListMode string `json:"membership_mode"`
	Tick     nanos  `json:"tick"`
	Classes  []struct {
		Name     string  `json:"name"`
		Aim      nanos   `json:"aim"`
		Deadline nanos   `json:"deadline"`
		Effect   string  `json:"effect"`
		Late     float64 `json:"late_worth"`
		Window   nanos   `json:"repeat_window"`
		Worth    float64 `json:"worth"`
	} `json:"classes"`
	Domain struct {
		Batch    int       `json:"per_call"`
		CallCost nanos     `json:"call_cost"`
		Cells    int       `json:"places"`
		Reach    int       `json:"in_a_row"`
		Shards   int       `json:"shards"`
		Need     []float64 `json:"whole_at"`
		Floor    []float64 `json:"floor_by_class"`
		Partial  []float64 `json:"class_partial"`
		Fetch    []int     `json:"class_fetch"`
		Warm     bool      `json:"warm_keys"`
	} `json:"domain"`
	Limits struct {
		Attempts       int   `json:"attempts_cap"`
		Cancel         bool  `json:"cancel"`
		SecondCopies   bool  `json:"second_copies"`
		RetryAfter     bool  `json:"retry_after"`
		MaxRetry       nanos `json:"max_retry_after"`
		MaxOpen        int   `json:"max_open"`
		Multiplex      int   `json:"multiplex"`
		ConnectTimeout nanos `json:"connect_timeout"`
		ConnIdle       nanos `json:"conn_idle"`
	} `json:"policy_limits"`
	ValueBy   string  `json:"value_by"`
	OverShare float64 `json:"over_share_worth"`
	Parties   []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
	} `json:"parties"`
	Callers struct {
		Marks bool `json:"marks_retry"`
	} `json:"callers"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
	Rules struct {
		AnswerSlack  nanos   `json:"answer_slack"`
		AskWithin    nanos   `json:"ask_within"`
		BudgetFree   float64 `json:"budget_free"`
		BudgetRatio  float64 `json:"repeat_ratio"`
		BudgetWindow nanos   `json:"counted_over"`
		ColdFor      nanos   `json:"cold"`
		ColdShare    float64 `json:"start_capacity"`
		DrainGrace   nanos   `json:"drain_grace"`
		Multiple     float64 `json:"fall_multiple"`
		Overload     nanos   `json:"overload_for"`
	} `json:"rules"`
}

// byWork is the value_by of a service where a query's worth grows with its work;
// "request", the other one, is what an absent value means.
const byWork = "work"

var effects = map[string]eiderwinch.Effect{
	"safe": eiderwinch.Safe, "keyed": eiderwinch.Keyed, "unsafe": eiderwinch.Unsafe,
}

// ParseSettings reads, checks and completes a settings object.
func ParseSettings(text []byte) (Settings, error) {
	var e settings
	if err := json.Unmarshal(text, &e); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := e.check(); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := Settings{Module: e.module(), Limits: e.limits()}
	s.Module.Tick = s.Limits.Tick // the module goes by the ticks that there are
	return s, nil
}

func (e *settings) check() error {
	switch {
	case e.Domain.Cells < 1 || e.Domain.Reach < 1 || e.Domain.Shards < 1:
		return fmt.Errorf("domain.shards, domain.places and domain.in_a_row must be above 0, found %d, %d and %d", e.Domain.Shards, e.Domain.Cells, e.Domain.Reach)
	case e.ListMode != "on_request" && e.ListMode != "pushed":
		return fmt.Errorf("unknown membership_mode %q, want on_request or pushed", e.ListMode)
	case e.ValueBy != "" && e.ValueBy != byWork && e.ValueBy != "request":
		return fmt.Errorf("value_by: found %q, want work or request", e.ValueBy)
	}
	for _, at := range []struct {
		key   string
		value int64
	}{
		{"tick", e.Tick},
		{"domain.per_call", int64(e.Domain.Batch)},
		{"policy_limits.max_open", int64(e.Limits.MaxOpen)},
		{"policy_limits.multiplex", int64(e.Limits.Multiplex)},
		{"policy_limits.connect_timeout", e.Limits.ConnectTimeout},
		{"policy_limits.conn_idle", e.Limits.ConnIdle},
		{"policy_limits.attempts_cap", int64(e.Limits.Attempts)},
		{"rules.drain_grace", e.Rules.DrainGrace},
		{"rules.answer_slack", e.Rules.AnswerSlack},
		{"rules.ask_within", e.Rules.AskWithin},
		{"rules.counted_over", e.Rules.BudgetWindow},
		{"rules.cold", e.Rules.ColdFor},
		{"rules.overload_for", e.Rules.Overload},
		{"domain.call_cost", e.Domain.CallCost},
		{"policy_limits.max_retry_after", e.Limits.MaxRetry},
		{"balancers", int64(e.Brokers)},
		{"my_number", int64(e.Number)},
	} {
		if at.value < 0 {
			return fmt.Errorf("%s is negative: found %d, want 0 or more", at.key, at.value)
		}
	}
	for key, shares := range map[string][]float64{
		"domain.whole_at": e.Domain.Need, "domain.floor_by_class": e.Domain.Floor, "domain.class_partial": e.Domain.Partial,
	} {
		for i, share := range shares {
			if !(share >= 0 && share <= 1) {
				return fmt.Errorf("%s[%d]: found %v, want a share from 0 to 1", key, i, share)
			}
		}
	}
	for i, n := range e.Domain.Fetch {
		if n < 0 {
			return fmt.Errorf("domain.class_fetch[%d]: found %d, want 0 or more", i, n)
		}
	}
	names := make(map[string]bool)
	for i, c := range e.Classes {
		_, ok := effects[c.Effect]
		switch {
		case c.Name == "":
			return fmt.Errorf("classes[%d].name is missing", i)
		case names[c.Name]:
			return fmt.Errorf("classes[%d].name: found %q twice, want each class once", i, c.Name)
		case c.Window < 0:
			return fmt.Errorf("classes[%d].repeat_window: found %d for class %q, want 0 or more", i, c.Window, c.Name)
		case !ok:
			return fmt.Errorf("classes[%d].effect: class %q has unknown effect %q, want safe, keyed or unsafe", i, c.Name, c.Effect)
		case c.Aim <= 0 || c.Deadline <= 0:
			return fmt.Errorf("classes[%d]: class %q needs an aim and a deadline above 0, found %d and %d", i, c.Name, c.Aim, c.Deadline)
		}
		names[c.Name] = true
	}
	return nil
}

func (e *settings) module() eiderwinch.Settings {
	s := eiderwinch.Settings{
		Brokers: e.Brokers, Number: e.Number, Zone: e.Zone, Tick: time.Duration(e.Tick),
		Shards: e.Domain.Shards, Cells: e.Domain.Cells, Reach: e.Domain.Reach,
		Batch: e.Domain.Batch, CallCost: time.Duration(e.Domain.CallCost),
		WarmKeys: e.Domain.Warm, CrossZoneCosts: e.Prices.CrossZone > 0,
		MarksRepeats: e.Callers.Marks, OverShare: e.OverShare, WorthByWork: e.ValueBy == byWork,
		AskForList:  e.ListMode == "on_request",
		MaxAttempts: e.Limits.Attempts, MayCancel: e.Limits.Cancel, SecondCopies: e.Limits.SecondCopies,
		RetryAdvice: e.Limits.RetryAfter, MaxRetryAdvice: time.Duration(e.Limits.MaxRetry),
		AskWithin:   time.Duration(e.Rules.AskWithin),
		BudgetRatio: e.Rules.BudgetRatio, BudgetFree: e.Rules.BudgetFree,
		BudgetWindow: time.Duration(e.Rules.BudgetWindow),
		ColdShare:    e.Rules.ColdShare, ColdFor: time.Duration(e.Rules.ColdFor),
		ColdMultiple: e.Rules.Multiple, ColdOverloads: time.Duration(e.Rules.Overload),
	}
	for _, t := range e.Parties {
		s.Tenants = append(s.Tenants, eiderwinch.Tenant{Name: t.Name, Share: t.Share})
	}
	for i, c := range e.Classes {
		class := eiderwinch.Class{
			Name: c.Name, Aim: time.Duration(c.Aim), Deadline: time.Duration(c.Deadline),
			Worth: c.Worth, LateWorth: c.Late, Effect: effects[c.Effect], RepeatWindow: time.Duration(c.Window),
			Need: at(e.Domain.Need, i), Floor: at(e.Domain.Floor, i), Partial: at(e.Domain.Partial, i),
		}
		if i < len(e.Domain.Fetch) {
			class.Fetch = e.Domain.Fetch[i]
		}
		s.Classes = append(s.Classes, class)
	}
	return s
}

func (e *settings) limits() Limits {
	span := func(n nanos, absent time.Duration) time.Duration {
		if n == 0 {
			return absent
		}
		return time.Duration(n)
	}
	l := Limits{
		Tick:           span(e.Tick, defaultTick),
		MaxOpen:        e.Limits.MaxOpen,
		Multiplex:      e.Limits.Multiplex,
		ConnectTimeout: span(e.Limits.ConnectTimeout, defaultConnectTimeout),
		ConnIdle:       span(e.Limits.ConnIdle, defaultConnIdle),
		DrainGrace:     span(e.Rules.DrainGrace, defaultDrainGrace),
		AnswerSlack:    span(e.Rules.AnswerSlack, defaultAnswerSlack),
	}
	if l.Multiplex == 0 {
		l.Multiplex = defaultMultiplex
	}
	return l
}

// at returns the value of class i; where the settings name none, all parts are needed.
func at(values []float64, i int) float64 {
	if i < len(values) {
		return values[i]
	}
	return 1
}
