package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/keeper"
	"eiderwinch/internal/trial/standin"
)

// managedProgram is the built program with an operators' file, round which a stand-in
// deployment runs.
type managedProgram struct {
	path, ops  string
	deployment *standin.Deployment
	text       string // the platform's configuration
}

func newManagedProgram(t *testing.T) *managedProgram {
	k := &managedProgram{path: buildProgram(t), ops: filepath.Join(t.TempDir(), "eiderwinch.xml")}
	var err error
	if k.deployment, err = standin.NewDeployment(standin.DeploymentOptions{Searchers: 4, Seed: 1}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.deployment.Close() })
	text, err := k.deployment.Config("g", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k.text = string(text)
	return k
}

// writeOperatorsFile writes the operators' file.
func (k *managedProgram) writeOperatorsFile(t *testing.T, inner string) {
	t.Helper()
	text := fmt.Sprintf(`<eiderwinch xmlns="urn:eiderwinch:operators:1"><admin endpoint="unix:%s/g"/><history file="history.db"/>%s</eiderwinch>`,
		filepath.Dir(k.ops), inner)
	if err := os.WriteFile(k.ops, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (k *managedProgram) launch(t *testing.T) (p *program, addr string) {
	t.Helper()
	p = launchWith(t, k.path, []string{"serve", "--file", k.ops}, k.text)
	_, addr, _ = strings.Cut(p.waitForLog(t, "msg=serving"), "addr=")
	addr, _, _ = strings.Cut(addr, " ")
	return p, addr
}

// waitForStatus waits for a state of the keeper.
func (k *managedProgram) waitForStatus(t *testing.T, what string, is func(keeper.Status) bool) keeper.Status {
	t.Helper()
	return waitForJSON(t, what, is, "config", "status", "--json", "--file", k.ops)
}

// queryGeneration asks a query, and returns the queryGeneration that it was answered under.
func queryGeneration(t *testing.T, addr, trace string) string {
	t.Helper()
	return postSearch(t, addr, trace, "find x").Header.Get("X-Config-Generation")
}

func lastTransaction(n int, want string) func(keeper.Status) bool {
	return func(s keeper.Status) bool { return len(s.Transactions) == n && s.Transactions[n-1].State == want }
}

// A change goes through SIGHUP and the admin socket, and the program is killed
// while one is on probation.
func TestConfigChangesAreTransactions(t *testing.T) {
	k := newManagedProgram(t)
	k.writeOperatorsFile(t, `<guard probation="60s" auto="false"/>`)
	p, addr := k.launch(t)
	if g := queryGeneration(t, addr, "t1"); g != "1" {
		t.Errorf("generation %q, want 1", g)
	}
	hup := func() { _ = p.Process.Signal(syscall.SIGHUP) }

	// All faults of the file in one go; nothing changes.
	k.writeOperatorsFile(t, `<class name="search" within="20s" attempts="9"/><class name="nobody"/>`)
	hup()
	line := p.waitForLog(t, "configuration not reloaded")
	for _, want := range []string{"at most the deadline of search, 4s", "at most attempts_cap, 4", "one of report, search, reserve"} {
		if !strings.Contains(line, want) {
			t.Errorf("%s is missing in %s", want, line)
		}
	}

	// Applied by SIGHUP, confirmed by hand.
	k.writeOperatorsFile(t, `<guard probation="60s" auto="false"/><class name="search" open="50"/>`)
	hup()
	k.waitForStatus(t, "probation", lastTransaction(1, "probation"))
	if g := queryGeneration(t, addr, "t2"); g != "2" {
		t.Errorf("generation %q, want 2", g)
	}
	if code, _, errs := runCommand(t, nil, "config", "confirm", "--file", k.ops, "1"); code != exitOK {
		t.Errorf("confirm: %s", errs)
	}
	if code, out, _ := runCommand(t, nil, "config", "show", "--file", k.ops, "2"); code != exitOK || !strings.Contains(out, `open="50"`) {
		t.Errorf("show: %s", out)
	}

	// Staged and applied by hand; a second one is refused; then a kill.
	k.writeOperatorsFile(t, `<guard probation="60s" auto="false"/><class name="search" open="60"/>`)
	if code, out, errs := runCommand(t, nil, "config", "stage", "--file", k.ops, "--operators", k.ops, "--against", "2", "--note", "more"); code != exitOK || !strings.Contains(out, "transaction 2") {
		t.Fatalf("stage: %s%s", out, errs)
	}
	if code, _, errs := runCommand(t, nil, "config", "apply", "--file", k.ops, "2"); code != exitOK {
		t.Fatalf("apply: %s", errs)
	}
	k.waitForStatus(t, "probation", lastTransaction(2, "probation"))
	hup() // the same again
	if line := p.waitForLog(t, "configuration not"); !strings.Contains(line, "another change is under way") {
		t.Errorf("a second change: %s", line)
	}
	p.kill(t)
	p, addr = k.launch(t)
	s := k.waitForStatus(t, "a status", func(keeper.Status) bool { return true })
	if s.Confirmed != 2 || s.InForce != 2 || !s.Durable || s.Transactions[1].State != "undone" || !strings.Contains(s.Transactions[1].Reason, "the process ended") {
		t.Errorf("after the kill: %+v", s)
	}
	if g := queryGeneration(t, addr, "t3"); g != "2" {
		t.Errorf("generation %q, want 2: the last that was confirmed", g)
	}
	if code, out, _ := runCommand(t, nil, "config", "history", "--file", k.ops); code != exitOK || !strings.Contains(out, "undone") {
		t.Errorf("history: %s", out)
	}

	// A confirm that comes after the undo began.
	hup()
	n := len(s.Transactions) + 1
	k.waitForStatus(t, "probation", lastTransaction(n, "probation"))
	tx := fmt.Sprint(k.waitForStatus(t, "a status", func(keeper.Status) bool { return true }).Transactions[n-1].Tx)
	if code, _, errs := runCommand(t, nil, "config", "undo", "--file", k.ops, tx); code != exitOK {
		t.Errorf("undo: %s", errs)
	}
	if code, _, errs := runCommand(t, nil, "config", "confirm", "--file", k.ops, tx); code != exitFailure || !strings.Contains(errs, "it is in another state") {
		t.Errorf("a late confirm: code %d, %s", code, errs)
	}
	k.waitForStatus(t, "the undo", lastTransaction(n, "undone"))
	_ = p.Process.Signal(syscall.SIGTERM)
	for range p.lines {
	}
	if err := p.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// A file that is replaced while it is read is read again.
func TestReadIsRepeatedWhileFileIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		readings []string // the last one over and over; "!" can't be read
		want     string
	}{
		"at rest":           {[]string{"a"}, "a"},
		"half written":      {[]string{"a", "", "ab", "abc"}, "abc"},
		"away for a moment": {[]string{"!", "!", "b"}, "b"},
		"gone":              {[]string{"!"}, ""},
	} {
		n := 0
		b, err := readUntilStable(func() (bundle.Bundle, error) {
			s := c.readings[min(n, len(c.readings)-1)]
			if n++; s == "!" {
				return bundle.Bundle{}, os.ErrNotExist
			}
			return bundle.Bundle{Operators: []byte(s)}, nil
		}, func() {})
		if string(b.Operators) != c.want || (err != nil) != (c.want == "") {
			t.Errorf("%s: have %q, %v", name, b.Operators, err)
		}
	}
	n := 0
	if _, err := readUntilStable(func() (bundle.Bundle, error) { n++; return bundle.Bundle{Operators: fmt.Append(nil, n)}, nil }, func() {}); err == nil {
		t.Error("one that changes all the time was taken")
	}
	// And from real files.
	dir := t.TempDir()
	f := configFiles{platform: filepath.Join(dir, "p"), operators: filepath.Join(dir, "o")}
	for _, path := range []string{f.platform, f.operators} {
		if err := os.WriteFile(path, []byte("<e/>"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if b, err := f.read(); err != nil || string(b.Operators) != "<e/>" || string(b.Platform) != "<e/>" {
		t.Errorf("have %s, %v", b.Operators, err)
	}
}

func TestConfigFileCommands(t *testing.T) {
	a := writeFile(t, "a.xml", `<eiderwinch xmlns="urn:eiderwinch:operators:1"><class open="3" name="search"/></eiderwinch>`)
	b := writeFile(t, "b.xml", `<eiderwinch xmlns="urn:eiderwinch:operators:1"><class name="search" open="4"/><log/></eiderwinch>`)
	if code, out, _ := runCommand(t, nil, "config", "check", a); code != exitOK || !strings.Contains(out, "in order") {
		t.Errorf("check: %s", out)
	}
	platform := writeFile(t, "p.json", fmt.Sprintf(configText, "127.0.0.1:1", "", settingsText))
	odd := writeFile(t, "odd.xml", `<eiderwinch xmlns="urn:eiderwinch:operators:1"><class name="odd"/><class name="search" attempts="5"/></eiderwinch>`)
	if code, _, errs := runCommand(t, nil, "config", "check", "--platform", platform, odd); code != exitConfig || !strings.Contains(errs, `found class "odd", want one of search`) ||
		!strings.Contains(errs, "at most attempts_cap, 4") {
		t.Errorf("check against the platform's: %s", errs)
	}
	if code, out, _ := runCommand(t, nil, "config", "diff", a, b); code != exitOK || out != "eiderwinch/class[search]/@open: \"3\" to \"4\"\neiderwinch/log: added\n" {
		t.Errorf("diff: %q", out)
	}
	if code, out, _ := runCommand(t, nil, "config", "fmt", a); code != exitOK || !strings.Contains(out, "\n  <class name=\"search\" open=\"3\"/>\n") {
		t.Errorf("fmt: %q", out)
	}
	if code, out, _ := runCommand(t, nil, "config", "explain", "guard/probation"); code != exitOK || !strings.Contains(out, "30s where it is not given") {
		t.Errorf("explain: %q", out)
	}
	if code, _, errs := runCommand(t, nil, "config", "explain", "nothing"); code != exitConfig || !strings.Contains(errs, `no element "nothing"`) {
		t.Errorf("explain: %q", errs)
	}
}

// Where signing is asked for, nothing is staged without a signature that holds, by
// hand or by SIGHUP.
func TestUnsignedConfigurationsAreRejected(t *testing.T) {
	k := newManagedProgram(t)
	dir := filepath.Dir(k.ops)
	keys := filepath.Join(dir, "keys.xml")
	keyText := func(name, from, until string) string {
		return fmt.Sprintf(`<key name=%q algorithm="blake3" value="%s=" from="%s-01-01T00:00:00Z" until="%s-01-01T00:00:00Z"/>`, name, strings.Repeat("A", 43), from, until)
	}
	if err := os.WriteFile(keys, []byte(`<keys xmlns="urn:eiderwinch:keys:1">`+keyText("now", "2020", "9000")+keyText("then", "2020", "2021")+`</keys>`), 0o600); err != nil {
		t.Fatal(err)
	}
	k.writeOperatorsFile(t, `<signing keys="keys.xml"/>`)
	p, _ := k.launch(t)
	k.writeOperatorsFile(t, `<signing keys="keys.xml"/><class name="search" open="9"/>`)
	_ = p.Process.Signal(syscall.SIGHUP)
	p.waitForLog(t, "the configuration is not signed")

	code, sig, errs := runCommand(t, nil, "config", "sign", "--keys", keys, "--key", "now", "--operators", k.ops)
	if code != exitOK {
		t.Fatal(errs)
	}
	stage := func(sig string) (int, string) {
		code, out, errs := runCommand(t, nil, "config", "stage", "--file", k.ops, "--operators", k.ops, "--signature", sig)
		return code, out + errs
	}
	sig = strings.TrimSpace(sig)
	for bad, want := range map[string]string{
		"": "is not signed", "x": "malformed signature", strings.Replace(sig, "now", "other", 1): "an unknown key",
		strings.Replace(sig, "now", "then", 1): "does not hold now", sig[:len(sig)-4] + "AAA=": "does not fit",
	} {
		if code, out := stage(bad); code != exitFailure || !strings.Contains(out, want) {
			t.Errorf("%q: code %d, %s, want %s", bad, code, out, want)
		}
	}
	if code, out := stage(sig); code != exitOK || !strings.Contains(out, "transaction 1") {
		t.Errorf("signed: code %d, %s", code, out)
	}
	if code, _, errs := runCommand(t, nil, "config", "sign", "--keys", keys, "--key", "then", "--operators", k.ops); code != exitConfig || !strings.Contains(errs, "does not hold now") {
		t.Errorf("an expired key signs: %s", errs)
	}
}
