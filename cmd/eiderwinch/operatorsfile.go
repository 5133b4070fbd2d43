package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/configuration/signature"
	"eiderwinch/internal/durable"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/format/settings"
	"eiderwinch/internal/format/xmlform"
	"eiderwinch/internal/layout/layoutfile"
	"eiderwinch/internal/trial/emulator"
)

// readForm reads an XML file. Its errors carry exitConfig, because a file that can't be read is a configuration error.
func readForm[T any](path string, read func(file string, r io.Reader) (*T, error)) (*T, error) {
	text, err := durable.ReadFile(path)
	if err != nil {
		return nil, &exitError{exitConfig, err}
	}
	v, err := read(path, bytes.NewReader(text))
	if err != nil {
		return nil, &exitError{exitConfig, err}
	}
	return v, nil
}

// readOperatorsFile reads an operators' file. It resolves the relative paths of layouts, of the history and of the
// coordinator's log against the folder of the file.
func readOperatorsFile(path string) (*settings.File, error) {
	f, err := readForm(path, settings.Read)
	if err != nil {
		return nil, err
	}
	paths := []*string{&f.Layout, &f.History}
	if f.Coordinator != nil {
		paths = append(paths, &f.Coordinator.Layout, &f.Coordinator.Log)
	}
	for _, name := range paths {
		if *name != "" {
			*name = resolveRelative(path, *name)
		}
	}
	return f, nil
}

// resolveRelative returns name if it is absolute, else name in the folder of path.
func resolveRelative(path, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(path), name)
}

// configCommands inspect operators' files, and change the configuration in force.
type configCommands struct {
	Check   configCheck   `cmd:"" help:"Check an operators' file and the layouts that it names, and report all faults."`
	Format  configFormat  `cmd:"" name:"fmt" help:"Print an operators' file in canonical form."`
	Diff    configDiff    `cmd:"" help:"Print the values in which two operators' files differ, defaults included."`
	Explain configExplain `cmd:"" help:"Explain an element or attribute of operators' files, layouts, key files or scenarios."`
	Schema  configSchema  `cmd:"" help:"Print the schema of operators' files, layouts, key files or scenarios."`
	Sign    configSign    `cmd:"" help:"Sign a configuration with a key of a key file."`
	Stage   configStage   `cmd:"" help:"Check a configuration at a running gatherer, dry-run it against the current state, and stage it."`
	Apply   configApply   `cmd:"" help:"Put a staged configuration in force, on probation."`
	Confirm configConfirm `cmd:"" help:"Confirm a configuration that is on probation."`
	Undo    configUndo    `cmd:"" help:"Undo a configuration that has not been confirmed."`
	Status  configStatus  `cmd:"" help:"Print which configuration is in force and which changes are under way."`
	History configHistory `cmd:"" help:"List the changes of the configuration."`
	Show    configShow    `cmd:"" help:"Print the text of a generation."`
	Soak    configSoak    `cmd:"" help:"Change the configuration of a loopback deployment under load, one change in four bad, and audit every answer."`
}

// initialLayout returns the path of the layout with which a new log of the coordinator begins, or an empty string if the
// file has no element coordinator.
func initialLayout(f *settings.File) string {
	if f.Coordinator == nil {
		return ""
	}
	return f.Coordinator.Layout
}

type configCheck struct {
	File     string `arg:"" help:"An operators' file that conforms to deploy/eiderwinch.xsd."`
	Platform string `placeholder:"FILE" help:"The platform's configuration to check the file against."`
}

// Run checks the file and the layouts that it names.
func (c configCheck) Run(e environment) error {
	f, err := readOperatorsFile(c.File)
	if err != nil {
		return err
	}
	var errs []error
	if c.Platform != "" {
		text, err := durable.ReadFile(c.Platform)
		if err == nil {
			var cfg *config.Config
			if cfg, err = config.Parse(text); err == nil {
				err = f.CheckPlatform(c.File, cfg.Settings)
			} else {
				err = fmt.Errorf("%s: %w", c.Platform, err)
			}
		}
		errs = append(errs, err)
	}
	for _, path := range []string{f.Layout, initialLayout(f)} {
		if path != "" {
			_, _, err := readValidLayout(path)
			errs = append(errs, err)
		}
	}
	if err := errors.Join(errs...); err != nil {
		return &exitError{exitConfig, err}
	}
	onOrOff := func(b bool) string {
		if b {
			return "on"
		}
		return "off"
	}
	fmt.Fprintf(e.stdout, "%s: in order: admin socket %s, layout %s, follows a coordinator %s, coordinator %s\n",
		c.File, onOrOff(f.Admin != ""), onOrOff(f.Layout != ""), onOrOff(f.Follow), onOrOff(f.Coordinator != nil))
	return nil
}

// formByName returns the form of a kind of file. The default is the operators' file.
func formByName(name string) *xmlform.Form {
	switch name {
	case "layout":
		return layoutfile.Form()
	case "scenario":
		return emulator.Form()
	case "keys":
		return signature.Form()
	}
	return settings.Form()
}

type configExplain struct {
	Form string `enum:"operators,layout,keys,scenario" default:"operators" help:"The kind of file: operators, layout, keys or scenario."`
	What string `arg:"" optional:"" help:"An element, or an attribute as element/attribute. Without it, all elements are listed."`
}

// Run prints the meaning, unit, default and bounds of an element or attribute.
func (c configExplain) Run(e environment) error {
	if err := formByName(c.Form).Explain(e.stdout, c.What); err != nil {
		return &exitError{exitConfig, fmt.Errorf("explain: %w", err)}
	}
	return nil
}

type configSchema struct {
	Form string `arg:"" enum:"operators,layout,keys,scenario" help:"The kind of file: operators, layout, keys or scenario."`
}

// Run prints the schema.
func (c configSchema) Run(e environment) error { return formByName(c.Form).Schema(e.stdout) }

type configFormat struct {
	File  string `arg:"" help:"An operators' file."`
	Write bool   `help:"Write the result back to the file instead of printing it."`
}

// Run formats the file.
func (c configFormat) Run(e environment) error {
	text, err := durable.ReadFile(c.File)
	if err != nil {
		return &exitError{exitConfig, err}
	}
	var b bytes.Buffer
	if err := settings.Form().Format(c.File, text, &b); err != nil {
		return &exitError{exitConfig, err}
	}
	if c.Write {
		return admin.WriteFileAtomic(c.File, b.Bytes())
	}
	_, err = e.stdout.Write(b.Bytes())
	return err
}

type configDiff struct {
	Old string `arg:"" help:"The first operators' file."`
	New string `arg:"" help:"The second operators' file."`
}

// Run prints the values that differ.
func (c configDiff) Run(e environment) error {
	var nodes []*xmlform.Node
	for _, path := range []string{c.Old, c.New} {
		text, err := durable.ReadFile(path)
		if err != nil {
			return &exitError{exitConfig, err}
		}
		if _, err := settings.Read(path, bytes.NewReader(text)); err != nil {
			return &exitError{exitConfig, err}
		}
		nodes = append(nodes, settings.Form().Read(bytes.NewReader(text), &xmlform.Faults{File: path}))
	}
	for _, line := range xmlform.Diff(nodes[0], nodes[1]) {
		fmt.Fprintln(e.stdout, line)
	}
	return nil
}
