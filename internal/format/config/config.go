// Package config is the one place where the program's configuration is read,
// checked and given defaults: the LB_ variables, the file that LB_CONFIG names
// and the settings object in it. Errors name the key at fault.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"reflect"
	"strconv"

	"eiderwinch/internal/durable"
	"eiderwinch/internal/format/catalog"
)

// Config is all that a gatherer is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Memory    int64 // bytes the process may take
	Sockets   int   // descriptors the process may hold
	Known     catalog.Update
	Settings  Settings
}

// Defaults and bounds of the limits.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 64 // listener, poller, discovery, a few clients and searchers
)

type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB int64 `json:"memory_mb"`
		Sockets  int   `json:"sockets"`
	} `json:"limits"`
	Known    catalog.Update  `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the configuration at the start. The variables LB_NAME, LB_LISTEN
// and LB_DISCOVERY win over the file.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, false) }

// Reload reads the configuration again while the program runs. It is the file
// that has been replaced, so its discovery wins over LB_DISCOVERY, which is as
// old as the process.
func Reload(getenv func(string) string) (*Config, error) { return load(getenv, true) }

// Parse reads a configuration from its text alone, whatever the environment says.
func Parse(text []byte) (*Config, error) {
	return parse(text, func(string) string { return "" }, false)
}

// Pending names the keys in which next differs from c and which only a new
// start puts into effect.
func (c *Config) Pending(next *Config) []string {
	var keys []string
	for _, at := range []struct {
		key     string
		differs bool
	}{
		{"name", c.Name != next.Name},
		{"listen", c.Listen != next.Listen},
		{"limits.memory_mb", c.Memory != next.Memory},
		{"limits.sockets", c.Sockets != next.Sockets},
		{"settings", !reflect.DeepEqual(c.Settings.withoutSeed(), next.Settings.withoutSeed())},
	} {
		if at.differs {
			keys = append(keys, at.key)
		}
	}
	return keys
}

func load(getenv func(string) string, again bool) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set: it names the config file")
	}
	text, err := durable.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c, err := parse(text, getenv, again)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func parse(text []byte, getenv func(string) string, again bool) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	for name, value := range map[string]*string{
		"LB_NAME": &f.Name, "LB_LISTEN": &f.Listen, "LB_DISCOVERY": &f.Discovery,
	} {
		hidden := again && name == "LB_DISCOVERY" && *value != ""
		if v := getenv(name); v != "" && !hidden {
			*value = v
		}
	}
	if err := address(f.Listen); err != nil {
		return nil, fmt.Errorf("listen (LB_LISTEN): %w", err)
	}
	if err := address(f.Discovery); err != nil {
		return nil, fmt.Errorf("discovery (LB_DISCOVERY): %w", err)
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Known: f.Known}
	if err := f.Known.Check(); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	c.Known.Once()
	switch l := f.Limits; {
	case l.MemoryMB < 0:
		return nil, fmt.Errorf("limits.memory_mb is negative: found %d, want 0 or more", l.MemoryMB)
	case l.Sockets < 0 || l.Sockets > 0 && l.Sockets < minSockets:
		return nil, fmt.Errorf("limits.sockets: found %d, want 0, which means %d, or at least %d", l.Sockets, defaultSockets, minSockets)
	}
	c.Memory, c.Sockets = f.Limits.MemoryMB<<20, f.Limits.Sockets
	if c.Memory == 0 {
		c.Memory = defaultMemoryMB << 20
	}
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings is missing: want the object that the platform hands to its instances")
	}
	var err error
	if c.Settings, err = ParseSettings(f.Settings); err != nil {
		return nil, err
	}
	if f.Seed != "" {
		if c.Settings.Module.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: found %q, want 16 hex digits", f.Seed)
		}
	}
	return c, nil
}

// address checks an address to be numeric: there is no DNS to ask.
func address(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("want address:port: %w", err)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("want a numeric address and port, have %q", s)
	}
	return nil
}
