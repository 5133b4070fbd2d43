package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/manager"
	"eiderwinch/internal/trial/fake"
)

// managedProgram is the built program with an operators' file and a fake deployment around it.
type managedProgram struct {
	path, ops  string
	deployment *fake.Deployment
	text       string // of the platform's configuration
}

func newManagedProgram(t *testing.T) *managedProgram {
	m := &managedProgram{path: buildProgram(t), ops: filepath.Join(t.TempDir(), "eiderwinch.xml")}
	m.deployment = startDeployment(t, fake.DeploymentOptions{Searchers: 4, Seed: 1})
	text, err := m.deployment.Config("g", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m.text = string(text)
	return m
}

// writeOperatorsFile writes the operators' file with further elements besides the admin socket and the history.
func (m *managedProgram) writeOperatorsFile(t *testing.T, inner string) {
	t.Helper()
	text := fmt.Sprintf(`<eiderwinch xmlns="urn:eiderwinch:operators:1"><admin endpoint="unix:%s/g"/><history file="history.db"/>%s</eiderwinch>`,
		filepath.Dir(m.ops), inner)
	if err := os.WriteFile(m.ops, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// launch starts the program, waits until it serves and returns its address.
func (m *managedProgram) launch(t *testing.T) (p *program, addr string) {
	t.Helper()
	p = launchWith(t, m.path, []string{"serve", "--file", m.ops}, m.text)
	_, addr, _ = strings.Cut(p.waitForLog(t, "msg=serving"), "addr=")
	addr, _, _ = strings.Cut(addr, " ")
	return p, addr
}

// waitForStatus waits until the status of the configuration satisfies condition, and returns that status.
func (m *managedProgram) waitForStatus(t *testing.T, what string, condition func(manager.Status) bool) manager.Status {
	t.Helper()
	return waitForJSON(t, what, condition, "config", "status", "--json", "--file", m.ops)
}

// queryGeneration sends a query and returns the configuration generation under which it was answered.
func queryGeneration(t *testing.T, addr, trace string) string {
	t.Helper()
	return postSearch(t, addr, trace, "find x").Header.Get("X-Config-Generation")
}

// lastTransaction returns a check that there are n transactions, the last of them in the wanted state.
func lastTransaction(n int, want string) func(manager.Status) bool {
	return func(s manager.Status) bool { return len(s.Transactions) == n && s.Transactions[n-1].State == want }
}

// Changes are made through SIGHUP and the admin socket. The program is killed while one is on probation: after the restart
// that change is undone, and the last confirmed generation is in force.
func TestConfigChangesAreTransactions(t *testing.T) {
	m := newManagedProgram(t)
	m.writeOperatorsFile(t, `<guard probation="60s" auto="false"/>`)
	p, addr := m.launch(t)
	if g := queryGeneration(t, addr, "t1"); g != "1" {
		t.Errorf("generation %q, want 1", g)
	}
	sighup := func() { _ = p.Process.Signal(syscall.SIGHUP) }

	// A reload reports all faults of the file at once, and changes nothing.
	m.writeOperatorsFile(t, `<class name="search" within="20s" attempts="9"/><class name="nobody"/>`)
	sighup()
	line := p.waitForLog(t, "configuration not reloaded")
	for _, want := range []string{"at most the deadline of search, 4s", "at most attempts_cap, 4", "one of report, search, reserve"} {
		if !strings.Contains(line, want) {
			t.Errorf("%s is missing in %s", want, line)
		}
	}

	// Applied by SIGHUP, confirmed by the operator.
	m.writeOperatorsFile(t, `<guard probation="60s" auto="false"/><class name="search" open="50"/>`)
	sighup()
	m.waitForStatus(t, "probation", lastTransaction(1, "probation"))
	if g := queryGeneration(t, addr, "t2"); g != "2" {
		t.Errorf("generation %q, want 2", g)
	}
	if code, _, errs := runCommand(t, nil, "config", "confirm", "--file", m.ops, "1"); code != exitOK {
		t.Errorf("confirm: %s", errs)
	}
	if code, out, _ := runCommand(t, nil, "config", "show", "--file", m.ops, "2"); code != exitOK || !strings.Contains(out, `open="50"`) {
		t.Errorf("show: %s", out)
	}

	// Staged and applied by the operator. A second change is refused meanwhile; then the program is killed.
	m.writeOperatorsFile(t, `<guard probation="60s" auto="false"/><class name="search" open="60"/>`)
	if code, out, errs := runCommand(t, nil, "config", "stage", "--file", m.ops, "--operators", m.ops, "--against", "2", "--note", "more"); code != exitOK || !strings.Contains(out, "transaction 2") {
		t.Fatalf("stage: %s%s", out, errs)
	}
	if code, _, errs := runCommand(t, nil, "config", "apply", "--file", m.ops, "2"); code != exitOK {
		t.Fatalf("apply: %s", errs)
	}
	m.waitForStatus(t, "probation", lastTransaction(2, "probation"))
	sighup() // a second change while the first is on probation
	if line := p.waitForLog(t, "configuration not"); !strings.Contains(line, "another change is under way") {
		t.Errorf("a second change: %s", line)
	}
	p.kill(t)
	p, addr = m.launch(t)
	s := m.waitForStatus(t, "a status", func(manager.Status) bool { return true })
	if s.Confirmed != 2 || s.InForce != 2 || !s.Durable || s.Transactions[1].State != "undone" || !strings.Contains(s.Transactions[1].Reason, "the process ended") {
		t.Errorf("after the kill: %+v", s)
	}
	if g := queryGeneration(t, addr, "t3"); g != "2" {
		t.Errorf("generation %q, want 2: the last that was confirmed", g)
	}
	if code, out, _ := runCommand(t, nil, "config", "history", "--file", m.ops); code != exitOK || !strings.Contains(out, "undone") {
		t.Errorf("history: %s", out)
	}

	// A confirmation is refused once the undo has begun.
	sighup()
	n := len(s.Transactions) + 1
	m.waitForStatus(t, "probation", lastTransaction(n, "probation"))
	tx := fmt.Sprint(m.waitForStatus(t, "a status", func(manager.Status) bool { return true }).Transactions[n-1].Tx)
	if code, _, errs := runCommand(t, nil, "config", "undo", "--file", m.ops, tx); code != exitOK {
		t.Errorf("undo: %s", errs)
	}
	if code, _, errs := runCommand(t, nil, "config", "confirm", "--file", m.ops, tx); code != exitFailure || !strings.Contains(errs, "it is in another state") {
		t.Errorf("confirmation after the undo: code %d, %s", code, errs)
	}
	m.waitForStatus(t, "the undo", lastTransaction(n, "undone"))
	_ = p.Process.Signal(syscall.SIGTERM)
	for range p.lines {
	}
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// A file may be replaced while it is read, so that it is found half written or missing. It is read again until two
// consecutive reads return the same.
func TestReadIsRepeatedWhileFileIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		reads []string // what consecutive reads return; the last one is repeated; "!" stands for a failed read
		want  string
	}{
		"at rest":              {[]string{"a"}, "a"},
		"half written":         {[]string{"a", "", "ab", "abc"}, "abc"},
		"missing for a moment": {[]string{"!", "!", "b"}, "b"},
		"gone":                 {[]string{"!"}, ""},
	} {
		n := 0
		b, err := readUntilStable(func() (bundle.Bundle, error) {
			s := c.reads[min(n, len(c.reads)-1)]
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
		t.Error("files that keep changing were accepted")
	}
	// The same with real files, which do not change.
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
	invalid := writeFile(t, "invalid.xml", `<eiderwinch xmlns="urn:eiderwinch:operators:1"><class name="odd"/><class name="search" attempts="5"/></eiderwinch>`)
	if code, _, errs := runCommand(t, nil, "config", "check", "--platform", platform, invalid); code != exitConfig || !strings.Contains(errs, `found class "odd", want one of search`) ||
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

// If signing is configured, no configuration is staged without a valid signature, neither by command nor by SIGHUP.
func TestUnsignedConfigurationsAreRejected(t *testing.T) {
	m := newManagedProgram(t)
	dir := filepath.Dir(m.ops)
	keys := filepath.Join(dir, "keys.xml")
	keyText := func(name, from, until string) string {
		return fmt.Sprintf(`<key name=%q algorithm="blake3" value="%s=" from="%s-01-01T00:00:00Z" until="%s-01-01T00:00:00Z"/>`, name, strings.Repeat("A", 43), from, until)
	}
	if err := os.WriteFile(keys, []byte(`<keys xmlns="urn:eiderwinch:keys:1">`+keyText("now", "2020", "9000")+keyText("then", "2020", "2021")+`</keys>`), 0o600); err != nil {
		t.Fatal(err)
	}
	m.writeOperatorsFile(t, `<signing keys="keys.xml"/>`)
	p, _ := m.launch(t)
	m.writeOperatorsFile(t, `<signing keys="keys.xml"/><class name="search" open="9"/>`)
	_ = p.Process.Signal(syscall.SIGHUP)
	p.waitForLog(t, "the configuration is not signed")

	code, sig, errs := runCommand(t, nil, "config", "sign", "--keys", keys, "--key", "now", "--operators", m.ops)
	if code != exitOK {
		t.Fatal(errs)
	}
	stage := func(sig string) (int, string) {
		code, out, errs := runCommand(t, nil, "config", "stage", "--file", m.ops, "--operators", m.ops, "--signature", sig)
		return code, out + errs
	}
	sig = strings.TrimSpace(sig)
	for bad, want := range map[string]string{
		"": "is not signed", "x": "malformed signature", strings.Replace(sig, "now", "other", 1): "an unknown key",
		strings.Replace(sig, "now", "then", 1): "validity period does not include the current time", sig[:len(sig)-4] + "AAA=": "does not fit",
	} {
		if code, out := stage(bad); code != exitFailure || !strings.Contains(out, want) {
			t.Errorf("%q: code %d, %s, want %s", bad, code, out, want)
		}
	}
	if code, out := stage(sig); code != exitOK || !strings.Contains(out, "transaction 1") {
		t.Errorf("signed: code %d, %s", code, out)
	}
	if code, _, errs := runCommand(t, nil, "config", "sign", "--keys", keys, "--key", "then", "--operators", m.ops); code != exitConfig || !strings.Contains(errs, "validity period does not include the current time") {
		t.Errorf("signing with an expired key: %s", errs)
	}
}
