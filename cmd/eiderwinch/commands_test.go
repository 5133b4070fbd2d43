package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// runCommand runs one command line of the program in this process.
func runCommand(t *testing.T, signals chan os.Signal, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = run(args, environment{getenv: func(string) string { return "" }, stdout: &out, stderr: &errs, signals: signals})
	return code, out.String(), errs.String()
}

// README.md has a row for each command, with the same help text as --help, and no further rows of commands.
func TestReadmeAndHelpAgree(t *testing.T) {
	readme, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	var c commandLine
	parser, err := newParser(&c, environment{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, node := range parser.Model.Leaves(true) {
		row := fmt.Sprintf("| `eiderwinch %s` | %s |", strings.ReplaceAll(node.Summary(), " [flags]", ""), node.Help)
		if !strings.Contains(string(readme), row) {
			t.Errorf("README.md lacks the row %s", row)
		}
		code, out, _ := runCommand(t, nil, append(strings.Fields(node.FullPath())[1:], "--help")...)
		if code != exitOK || !strings.Contains(strings.Join(strings.Fields(out), " "), node.Help) {
			t.Errorf("%s --help: code %d, %s", node.FullPath(), code, out)
		}
	}
	if rows := strings.Count(string(readme), "| `eiderwinch "); rows != len(parser.Model.Leaves(true)) {
		t.Errorf("README.md has %d rows of commands, the program has %d commands", rows, len(parser.Model.Leaves(true)))
	}
}

func TestDemoAnswersAllClasses(t *testing.T) {
	for _, c := range []struct{ layout, answers string }{{"sets", "whole"}, {"ring", "partial"}, {"ring", "whole"}, {"sets", "partial"}} {
		code, out, errs := runCommand(t, nil, "demo", "--queries", "9", "--clients", "3", "--layout", c.layout, "--answers", c.answers)
		if code != exitOK || !strings.Contains(out, "9 of 9 answered whole") || !strings.Contains(out, "0 reservations made twice") {
			t.Errorf("%+v: code %d\n%s%s", c, code, out, errs)
		}
		classes, _ := demoCommand{Answers: c.answers}.classes()
		for _, class := range classes {
			if !strings.Contains(out, class+" ") {
				t.Errorf("%+v: no line for class %s in\n%s", c, class, out)
			}
		}
	}
}

func TestSignalEndsDemoCleanly(t *testing.T) {
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGINT
	code, out, errs := runCommand(t, signals, "demo", "--queries", "10000")
	if code != exitOK || !strings.Contains(out, "Ended early") {
		t.Errorf("code %d, %.300s%s", code, out, errs)
	}
}

func TestCheckReportsFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	valid := fmt.Sprintf(configText, "127.0.0.1:1", "", settingsText)
	for _, c := range []struct {
		text, out, err string
		code           int
	}{
		{valid, "in order", "", exitOK},
		{strings.Replace(valid, `"listen":"127.0.0.1:0"`, `"listen":"here"`, 1), "", "listen", exitConfig},
		{"{", "", "JSON", exitConfig},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		code, out, errs := runCommand(t, nil, "check", path)
		if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(errs, c.err) {
			t.Errorf("%.40s: code %d, %q, %q", c.text, code, out, errs)
		}
	}
	if code, _, errs := runCommand(t, nil, "check", filepath.Join(t.TempDir(), "none")); code != exitConfig || errs == "" {
		t.Errorf("no file: code %d, %q", code, errs)
	}
}

func TestInvalidCommandLinesAreRejected(t *testing.T) {
	for _, args := range [][]string{{"nonsense"}, {"demo", "--queries", "0"}, {"demo", "--clients", "1000"}, {"check"}, {"serve", "--odd"}} {
		if code, _, errs := runCommand(t, nil, args...); code != exitConfig || !strings.Contains(errs, "--help") {
			t.Errorf("%v: code %d, %q", args, code, errs)
		}
	}
	if code, out, _ := runCommand(t, nil, "version"); code != exitOK || !strings.Contains(out, "go1.") {
		t.Errorf("version: %d, %q", code, out)
	}
	// Without a command the program serves, so the missing configuration is the error.
	if code, _, errs := runCommand(t, nil); code != exitConfig || !strings.Contains(errs, "LB_CONFIG") {
		t.Errorf("no arguments: code %d, %q", code, errs)
	}
}
