package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// validConfig is a complete configuration, which the tests change in one place each.
const validConfig = `{"name":"n3","listen":"127.0.0.4:8443","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":64,"sockets":256},
	"known":{"revision":41,"complete":true,"members":[{"id":"s","host_port":"h:1","phase":"Ready"}]},
	"settings":{"membership_mode":"pushed","tick":5000000,"domain":{"places":1,"in_a_row":1,"shards":2,"class_fetch":[3]},
	"classes":[{"name":"a","aim":1,"deadline":2,"effect":"keyed"}],
	"policy_limits":{"max_open":140,"multiplex":8,"conn_idle":9000000000},"rules":{"drain_grace":400000000}}}`

// env returns a getenv for pairs of a variable and its value.
func env(pairs ...string) func(string) string {
	return func(key string) string {
		for i := 0; i < len(pairs); i += 2 {
			if pairs[i] == key {
				return pairs[i+1]
			}
		}
		return ""
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Load(env("LB_CONFIG", path, "LB_LISTEN", "127.0.0.9:1"))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.9:1" || c.Discovery != "127.0.0.1:8500" ||
		c.MemoryLimit != 64<<20 || c.SocketLimit != 256 || c.KnownMembers.Revision != 41 || len(c.KnownMembers.Members) != 1 {
		t.Errorf("have %+v", c)
	}
	want := Limits{
		Tick: 5 * time.Millisecond, MaxOpen: 140, Multiplex: 8, ConnectTimeout: defaultConnectTimeout,
		ConnIdle: 9 * time.Second, DrainGrace: 400 * time.Millisecond, AnswerSlack: defaultAnswerSlack,
	}
	if c.Settings.Limits != want {
		t.Errorf("limits %+v", c.Settings.Limits)
	}
	if m := c.Settings.Module; m.Tick != want.Tick || m.Seed != 0x8c1f30d27a5be964 || m.Shards != 2 || m.Classes[0].SecondStepParts != 3 || m.Classes[0].WholeShare != 1 {
		t.Errorf("module %+v", m)
	}
}

func TestDefaults(t *testing.T) {
	text := strings.NewReplacer(`"memory_mb":64,"sockets":256`, "", `"max_open":140,"multiplex":8,"conn_idle":9000000000`, "",
		`"drain_grace":400000000`, "", `"tick":5000000,`, "").Replace(validConfig)
	text = strings.Replace(text, `"cores":1.0,`, `"cores":1.0`, 1)
	c, err := parse([]byte(text), env(), false)
	if err != nil {
		t.Fatal(err)
	}
	want := Limits{Tick: defaultTick, Multiplex: defaultMultiplex, ConnectTimeout: defaultConnectTimeout,
		ConnIdle: defaultConnIdle, DrainGrace: defaultDrainGrace, AnswerSlack: defaultAnswerSlack}
	if c.Settings.Limits != want || c.Settings.Module.Tick != defaultTick || c.MemoryLimit != defaultMemoryMB<<20 || c.SocketLimit != defaultSockets {
		t.Errorf("have %+v", c)
	}
}

// LB_DISCOVERY is as old as the process. If it overrode the file at a reload too, a
// discovery address in a replaced file would never take effect.
func TestReloadPrefersTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	for _, c := range []struct{ old, new, discovery, pending, err string }{
		{"", "", "127.0.0.1:8500", "", ""},
		{"127.0.0.1:8500", "127.0.0.7:1", "127.0.0.7:1", "", ""},
		{`"discovery":"127.0.0.1:8500",`, "", "127.0.0.2:2", "", ""}, // without one in the file, the variable applies
		{"8c1f30d27a5be964", "00", "127.0.0.1:8500", "", ""},
		{`"sockets":256`, `"sockets":512`, "127.0.0.1:8500", "limits.sockets", ""},
		{`"max_open":140`, `"max_open":141`, "127.0.0.1:8500", "settings", ""},
		{"127.0.0.1:8500", "nowhere:1", "", "", "discovery"},
	} {
		e := env("LB_CONFIG", path, "LB_DISCOVERY", "127.0.0.2:2")
		write := func(text string) {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		write(validConfig)
		first, err := Load(e)
		if err != nil || first.Discovery != "127.0.0.2:2" {
			t.Fatalf("Load: %+v, %v", first, err)
		}
		write(strings.Replace(validConfig, c.old, c.new, 1))
		next, err := Reload(e)
		if c.err != "" {
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("%q: have %v", c.new, err)
			}
		} else if err != nil || next.Discovery != c.discovery || strings.Join(first.PendingRestart(next), " ") != c.pending {
			t.Errorf("%q: have %+v, pending %v, %v", c.new, next, first.PendingRestart(next), err)
		}
	}
}

func TestErrorsNameTheKey(t *testing.T) {
	if _, err := Load(env()); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("without LB_CONFIG: %v", err)
	}
	if _, err := Load(env("LB_CONFIG", "/nowhere")); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("with a path that does not exist: %v", err)
	}
	for _, c := range []struct{ old, new, want string }{
		{validConfig, "{", "JSON"},
		{"127.0.0.4:8443", "localhost:1", "listen"},
		{"127.0.0.1:8500", "127.0.0.1", "discovery"},
		{`"sockets":256`, `"sockets":3`, "limits.sockets: found 3, want 0, which means 1024, or at least 64"},
		{`"memory_mb":64`, `"memory_mb":-1`, "limits.memory_mb is negative: found -1, want 0 or more"},
		{`"memory_mb":64`, `"memory_mb":"x"`, "limits.memory_mb"},
		{"8c1f30d27a5be964", "x", `seed: found "x", want 16 hex digits`},
		{`"phase":"Ready"`, `"phase":"Odd"`, "known: members[0]"},
		{`"settings"`, `"settinks"`, "settings is missing"},
		{`"places":1`, `"places":0`, "domain.places"},
		{`"pushed"`, `"smoke"`, "membership_mode"},
		{`"tick":5000000`, `"tick":5000000,"value_by":"luck"`, "value_by"},
		{`"tick":5000000`, `"tick":-5`, "tick"},
		{`"tick":5000000`, `"tick":"5ms"`, "tick"},
		{`"multiplex":8`, `"multiplex":-8`, "policy_limits.multiplex"},
		{`"drain_grace":400000000`, `"drain_grace":-1`, "rules.drain_grace"},
		{`"name":"a"`, `"name":""`, "classes[0].name"},
		{`"keyed"`, `"odd"`, "classes[0].effect"},
		{`"aim":1`, `"aim":0`, "classes[0]"},
		{`"aim":1`, `"repeat_window":-1,"aim":1`, `classes[0].repeat_window: found -1 for class "a", want 0 or more`},
		{`"effect":"keyed"}`, `"effect":"keyed"},{"name":"a","aim":1,"deadline":2,"effect":"safe"}`, `classes[1].name: found "a" twice, want each class once`},
		{`"class_fetch":[3]`, `"class_fetch":[0,-3]`, "domain.class_fetch[1]: found -3, want 0 or more"},
		{`"class_fetch":[3]`, `"whole_at":[1.5]`, "domain.whole_at[0]: found 1.5, want a share from 0 to 1"},
		{`"class_fetch":[3]`, `"floor_by_class":[-0.1]`, "domain.floor_by_class[0]: found -0.1, want a share from 0 to 1"},
		{`"drain_grace":400000000`, `"cold":-1`, "rules.cold is negative: found -1, want 0 or more"},
		{`"tick":5000000`, `"balancers":-3`, "balancers is negative: found -3, want 0 or more"},
	} {
		text := strings.Replace(validConfig, c.old, c.new, 1)
		if _, err := parse([]byte(text), env(), false); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %.30s: have %v, want %q", c.new, c.old, err, c.want)
		}
	}
}
