package main

import (
	"fmt"
	"os"

	"eiderwinch/internal/format/config"
)

// checkCommand checks a configuration file without serving.
type checkCommand struct {
	File string `arg:"" help:"A configuration in the platform's JSON format."`
}

// Run prints a summary of the file, or returns what is wrong with it.
func (c checkCommand) Run(e environment) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return &exitError{exitConfig, err}
	}
	cfg, err := config.Parse(text)
	if err != nil {
		return &exitError{exitConfig, fmt.Errorf("%s: %w", c.File, err)}
	}
	m := cfg.Settings.Module
	fmt.Fprintf(e.stdout, "%s: in order: listens on %s, %d classes, %d segments in %d cells, %d searchers known, %d descriptors\n",
		c.File, cfg.Listen, len(m.Classes), m.Shards, m.Cells, len(cfg.KnownMembers.Members), cfg.SocketLimit)
	return nil
}
