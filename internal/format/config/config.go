// Package config reads a gatherer's configuration, checks it and applies defaults:
// the LB_ environment variables, the JSON file that LB_CONFIG names and the settings
// object in that file. Errors name the invalid key.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"eiderwinch/internal/durable"
	"eiderwinch/internal/format/catalog"
)

// Config is the platform's configuration of a gatherer.
type Config struct {
	Name         string
	Listen       string
	Discovery    string
	MemoryLimit  int64          // memory limit of the process in bytes
	SocketLimit  int            // limit on the file descriptors of the process
	KnownMembers catalog.Update // the member list when the file was written
	Settings     Settings
}

// Defaults and bounds of the limits of the process.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 64 // enough for the listener, the poller, discovery, a few clients and searchers
)

// file is the JSON form of the configuration file.
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

// Load reads the configuration when the process starts. The variables LB_NAME,
// LB_LISTEN and LB_DISCOVERY override the file.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, false) }

// Reload reads the configuration again while the process runs. Only the file can
// have changed since the start, so its discovery overrides LB_DISCOVERY, which is
// as old as the process.
func Reload(getenv func(string) string) (*Config, error) { return load(getenv, true) }

// Parse reads a configuration from its text alone and ignores the environment.
func Parse(text []byte) (*Config, error) {
	return parse(text, func(string) string { return "" }, false)
}

// SettingsKey is the key of the settings object in the configuration file.
const SettingsKey = "settings"

// PendingRestart returns the keys in which next differs from c and which take effect only
// after a restart.
func (c *Config) PendingRestart(next *Config) []string {
	var keys []string
	for _, setting := range []struct {
		key     string
		differs bool
	}{
		{"name", c.Name != next.Name},
		{"listen", c.Listen != next.Listen},
		{"limits.memory_mb", c.MemoryLimit != next.MemoryLimit},
		{"limits.sockets", c.SocketLimit != next.SocketLimit},
		{SettingsKey, !bytes.Equal(c.Settings.Canonical(), next.Settings.Canonical())},
	} {
		if setting.differs {
			keys = append(keys, setting.key)
		}
	}
	return keys
}

// TakePlatformValues replaces the values of c that the platform alone decides by those of a configuration that the
// platform has passed to this process: all but the settings, and the seed in them.
func (c *Config) TakePlatformValues(from *Config) {
	settings := c.Settings
	settings.Module.Seed = from.Settings.Module.Seed
	*c = *from
	c.Settings = settings
}

func load(getenv func(string) string, reload bool) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set: want the path of the configuration file")
	}
	text, err := durable.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c, err := parse(text, getenv, reload)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func parse(text []byte, getenv func(string) string, reload bool) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	for name, value := range map[string]*string{
		"LB_NAME": &f.Name, "LB_LISTEN": &f.Listen, "LB_DISCOVERY": &f.Discovery,
	} {
		fileWins := reload && name == "LB_DISCOVERY" && *value != ""
		if v := getenv(name); v != "" && !fileWins {
			*value = v
		}
	}
	if err := checkAddress(f.Listen); err != nil {
		return nil, fmt.Errorf("listen (LB_LISTEN): %w", err)
	}
	if err := checkAddress(f.Discovery); err != nil {
		return nil, fmt.Errorf("discovery (LB_DISCOVERY): %w", err)
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, KnownMembers: f.Known}
	if err := f.Known.Validate(); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	c.KnownMembers.RemoveDuplicates()
	switch l := f.Limits; {
	case l.MemoryMB < 0:
		return nil, fmt.Errorf("limits.memory_mb is negative: found %d, want 0 or more", l.MemoryMB)
	case l.Sockets < 0 || l.Sockets > 0 && l.Sockets < minSockets:
		return nil, fmt.Errorf("limits.sockets: found %d, want 0, which means %d, or at least %d", l.Sockets, defaultSockets, minSockets)
	}
	c.MemoryLimit, c.SocketLimit = f.Limits.MemoryMB<<20, f.Limits.Sockets
	if c.MemoryLimit == 0 {
		c.MemoryLimit = defaultMemoryMB << 20
	}
	if c.SocketLimit == 0 {
		c.SocketLimit = defaultSockets
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings is missing: want the object that the platform passes to its instances")
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

// checkAddress checks that an address is numeric, because there is no DNS to resolve
// names.
func checkAddress(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("want address:port: %w", err)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("found %q, want a numeric address and port", s)
	}
	return nil
}
