package config

import (
	"encoding/json"
	"fmt"
	"time"

	"eiderwinch"
)

// Settings is the settings object of the configuration file. The simulator passes
// it to its instances in the same form.
type Settings struct {
	Module eiderwinch.Settings // settings of the decision module
	Limits Limits              // limits of the gatherer around it
}

// Limits holds the limits of a gatherer process that are not part of the decisions.
type Limits struct {
	Tick           time.Duration // shortest time between two turns
	MaxOpen        int           // most queries and parts held at once; 0 means no limit
	Multiplex      int           // most parts that one connection carries at once
	ConnectTimeout time.Duration // of a connection to a searcher
	ConnIdle       time.Duration // searchers close connections that have been idle this long
	DrainGrace     time.Duration // sends to a draining or removed searcher must stop within this time
	AnswerSlack    time.Duration // how late a final answer may be
}

// withoutSeed returns the settings with the seed cleared, because each file has a new
// seed.
func (s Settings) withoutSeed() Settings {
	s.Module.Seed = 0
	return s
}

// Canonical returns a text that two settings have in common just if they differ at most in the seed.
func (s Settings) Canonical() []byte {
	text, err := json.Marshal(s.withoutSeed())
	if err != nil {
		panic(err) // can't happen: only numbers, strings and lists, and JSON has no infinite numbers
	}
	return text
}

// Defaults of settings that may be absent.
const (
	defaultTick           = 5 * time.Millisecond
	defaultMultiplex      = 32
	defaultConnectTimeout = 250 * time.Millisecond
	defaultConnIdle       = 30 * time.Second
	defaultDrainGrace     = 500 * time.Millisecond
	defaultAnswerSlack    = 20 * time.Millisecond
)

// nanoseconds is a duration in the settings object.
type nanoseconds = int64

// settings is the JSON form of the keys of the settings object that are used.
type settings struct {
	Zone           string      `json:"az"`
	Gatherers      int         `json:"balancers"`
	GathererNumber int         `json:"my_number"`
	MembershipMode string      `json:"membership_mode"`
	Tick           nanoseconds `json:"tick"`
	Classes        []struct {
		Name         string      `json:"name"`
		Aim          nanoseconds `json:"aim"`
		Deadline     nanoseconds `json:"deadline"`
		Effect       string      `json:"effect"`
		LateWorth    float64     `json:"late_worth"`
		RepeatWindow nanoseconds `json:"repeat_window"`
		Worth        float64     `json:"worth"`
	} `json:"classes"`
	Domain struct {
		MaxBatch         int         `json:"per_call"`
		CallCost         nanoseconds `json:"call_cost"`
		Cells            int         `json:"places"`
		ReplicasPerShard int         `json:"in_a_row"`
		Shards           int         `json:"shards"`
		WholeShares      []float64   `json:"whole_at"`
		MinShares        []float64   `json:"floor_by_class"`
		PartialWorths    []float64   `json:"class_partial"`
		SecondStepParts  []int       `json:"class_fetch"`
		WarmKeys         bool        `json:"warm_keys"`
	} `json:"domain"`
	Limits struct {
		MaxAttempts    int         `json:"attempts_cap"`
		MayCancel      bool        `json:"cancel"`
		SecondCopies   bool        `json:"second_copies"`
		RetryAdvice    bool        `json:"retry_after"`
		MaxRetryAdvice nanoseconds `json:"max_retry_after"`
		MaxOpen        int         `json:"max_open"`
		Multiplex      int         `json:"multiplex"`
		ConnectTimeout nanoseconds `json:"connect_timeout"`
		ConnIdle       nanoseconds `json:"conn_idle"`
	} `json:"policy_limits"`
	ValueBy        string  `json:"value_by"`
	OverShareWorth float64 `json:"over_share_worth"`
	Tenants        []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
	} `json:"parties"`
	Callers struct {
		MarksRepeats bool `json:"marks_retry"`
	} `json:"callers"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
	Rules struct {
		AnswerSlack        nanoseconds `json:"answer_slack"`
		SubscribeWithin    nanoseconds `json:"ask_within"`
		RetryBudgetFree    float64     `json:"budget_free"`
		RetryBudgetRatio   float64     `json:"repeat_ratio"`
		RetryBudgetWindow  nanoseconds `json:"counted_over"`
		ColdDuration       nanoseconds `json:"cold"`
		ColdShare          float64     `json:"start_capacity"`
		DrainGrace         nanoseconds `json:"drain_grace"`
		ColdMultiple       float64     `json:"fall_multiple"`
		ColdOverloadWindow nanoseconds `json:"overload_for"`
	} `json:"rules"`
}

// valueByWork is the value_by of a service in which the worth of a query grows with
// its work. The other value is "request", which is also the default.
const valueByWork = "work"

// effects maps the effects of classes by their names in the settings object.
var effects = map[string]eiderwinch.Effect{
	"safe": eiderwinch.Safe, "keyed": eiderwinch.Keyed, "unsafe": eiderwinch.Unsafe,
}

// ParseSettings reads a settings object, checks it and applies defaults.
func ParseSettings(text []byte) (Settings, error) {
	var raw settings
	if err := json.Unmarshal(text, &raw); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := raw.check(); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := Settings{Module: raw.module(), Limits: raw.limits()}
	s.Module.Tick = s.Limits.Tick // the decision module uses the tick that is in effect, default included
	return s, nil
}

func (raw *settings) check() error {
	switch {
	case raw.Domain.Cells < 1 || raw.Domain.ReplicasPerShard < 1 || raw.Domain.Shards < 1:
		return fmt.Errorf("domain.shards, domain.places and domain.in_a_row must be above 0, found %d, %d and %d", raw.Domain.Shards, raw.Domain.Cells, raw.Domain.ReplicasPerShard)
	case raw.MembershipMode != "on_request" && raw.MembershipMode != "pushed":
		return fmt.Errorf("membership_mode: found %q, want on_request or pushed", raw.MembershipMode)
	case raw.ValueBy != "" && raw.ValueBy != valueByWork && raw.ValueBy != "request":
		return fmt.Errorf("value_by: found %q, want work or request", raw.ValueBy)
	}
	for _, setting := range []struct {
		key   string
		value int64
	}{
		{"tick", raw.Tick},
		{"domain.per_call", int64(raw.Domain.MaxBatch)},
		{"policy_limits.max_open", int64(raw.Limits.MaxOpen)},
		{"policy_limits.multiplex", int64(raw.Limits.Multiplex)},
		{"policy_limits.connect_timeout", raw.Limits.ConnectTimeout},
		{"policy_limits.conn_idle", raw.Limits.ConnIdle},
		{"policy_limits.attempts_cap", int64(raw.Limits.MaxAttempts)},
		{"rules.drain_grace", raw.Rules.DrainGrace},
		{"rules.answer_slack", raw.Rules.AnswerSlack},
		{"rules.ask_within", raw.Rules.SubscribeWithin},
		{"rules.counted_over", raw.Rules.RetryBudgetWindow},
		{"rules.cold", raw.Rules.ColdDuration},
		{"rules.overload_for", raw.Rules.ColdOverloadWindow},
		{"domain.call_cost", raw.Domain.CallCost},
		{"policy_limits.max_retry_after", raw.Limits.MaxRetryAdvice},
		{"balancers", int64(raw.Gatherers)},
		{"my_number", int64(raw.GathererNumber)},
	} {
		if setting.value < 0 {
			return fmt.Errorf("%s is negative: found %d, want 0 or more", setting.key, setting.value)
		}
	}
	for key, shares := range map[string][]float64{
		"domain.whole_at": raw.Domain.WholeShares, "domain.floor_by_class": raw.Domain.MinShares, "domain.class_partial": raw.Domain.PartialWorths,
	} {
		for i, share := range shares {
			if !(share >= 0 && share <= 1) {
				return fmt.Errorf("%s[%d]: found %v, want a share from 0 to 1", key, i, share)
			}
		}
	}
	for i, n := range raw.Domain.SecondStepParts {
		if n < 0 {
			return fmt.Errorf("domain.class_fetch[%d]: found %d, want 0 or more", i, n)
		}
	}
	names := make(map[string]bool)
	for i, c := range raw.Classes {
		_, ok := effects[c.Effect]
		switch {
		case c.Name == "":
			return fmt.Errorf("classes[%d].name is missing", i)
		case names[c.Name]:
			return fmt.Errorf("classes[%d].name: found %q twice, want each class once", i, c.Name)
		case c.RepeatWindow < 0:
			return fmt.Errorf("classes[%d].repeat_window: found %d for class %q, want 0 or more", i, c.RepeatWindow, c.Name)
		case !ok:
			return fmt.Errorf("classes[%d].effect: class %q has unknown effect %q, want safe, keyed or unsafe", i, c.Name, c.Effect)
		case c.Aim <= 0 || c.Deadline <= 0:
			return fmt.Errorf("classes[%d]: class %q needs an aim and a deadline above 0, found %d and %d", i, c.Name, c.Aim, c.Deadline)
		}
		names[c.Name] = true
	}
	return nil
}

func (raw *settings) module() eiderwinch.Settings {
	s := eiderwinch.Settings{
		Gatherers: raw.Gatherers, GathererNumber: raw.GathererNumber, Zone: raw.Zone, Tick: time.Duration(raw.Tick),
		Shards: raw.Domain.Shards, Cells: raw.Domain.Cells, ReplicasPerShard: raw.Domain.ReplicasPerShard,
		MaxBatch: raw.Domain.MaxBatch, CallCost: time.Duration(raw.Domain.CallCost),
		WarmKeys: raw.Domain.WarmKeys, CrossZoneCosts: raw.Prices.CrossZone > 0,
		MarksRepeats: raw.Callers.MarksRepeats, OverShareWorth: raw.OverShareWorth, WorthByWork: raw.ValueBy == valueByWork,
		SubscribeToList: raw.MembershipMode == "on_request",
		MaxAttempts:     raw.Limits.MaxAttempts, MayCancel: raw.Limits.MayCancel, SecondCopies: raw.Limits.SecondCopies,
		RetryAdvice: raw.Limits.RetryAdvice, MaxRetryAdvice: time.Duration(raw.Limits.MaxRetryAdvice),
		SubscribeWithin:  time.Duration(raw.Rules.SubscribeWithin),
		RetryBudgetRatio: raw.Rules.RetryBudgetRatio, RetryBudgetFree: raw.Rules.RetryBudgetFree,
		RetryBudgetWindow: time.Duration(raw.Rules.RetryBudgetWindow),
		ColdShare:         raw.Rules.ColdShare, ColdDuration: time.Duration(raw.Rules.ColdDuration),
		ColdMultiple: raw.Rules.ColdMultiple, ColdOverloadWindow: time.Duration(raw.Rules.ColdOverloadWindow),
	}
	for _, t := range raw.Tenants {
		s.Tenants = append(s.Tenants, eiderwinch.Tenant{Name: t.Name, Share: t.Share})
	}
	for i, c := range raw.Classes {
		class := eiderwinch.Class{
			Name: c.Name, Aim: time.Duration(c.Aim), Deadline: time.Duration(c.Deadline),
			Worth: c.Worth, LateWorth: c.LateWorth, Effect: effects[c.Effect], RepeatWindow: time.Duration(c.RepeatWindow),
			WholeShare: valueOfClass(raw.Domain.WholeShares, i), MinShare: valueOfClass(raw.Domain.MinShares, i), PartialWorth: valueOfClass(raw.Domain.PartialWorths, i),
		}
		if i < len(raw.Domain.SecondStepParts) {
			class.SecondStepParts = raw.Domain.SecondStepParts[i]
		}
		s.Classes = append(s.Classes, class)
	}
	return s
}

func (raw *settings) limits() Limits {
	durationOr := func(n nanoseconds, defaultValue time.Duration) time.Duration {
		if n == 0 {
			return defaultValue
		}
		return time.Duration(n)
	}
	l := Limits{
		Tick:           durationOr(raw.Tick, defaultTick),
		MaxOpen:        raw.Limits.MaxOpen,
		Multiplex:      raw.Limits.Multiplex,
		ConnectTimeout: durationOr(raw.Limits.ConnectTimeout, defaultConnectTimeout),
		ConnIdle:       durationOr(raw.Limits.ConnIdle, defaultConnIdle),
		DrainGrace:     durationOr(raw.Rules.DrainGrace, defaultDrainGrace),
		AnswerSlack:    durationOr(raw.Rules.AnswerSlack, defaultAnswerSlack),
	}
	if l.Multiplex == 0 {
		l.Multiplex = defaultMultiplex
	}
	return l
}

// valueOfClass returns element i of a list with one value for each class, or 1 if the list
// is shorter. For the shares, 1 means that all parts are needed.
func valueOfClass(values []float64, i int) float64 {
	if i < len(values) {
		return values[i]
	}
	return 1
}
