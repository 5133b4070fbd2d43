package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderwinch/internal/trial/testpeer"
)

// layoutText is a valid layout of two segments.
const layoutText = `<layout xmlns="urn:eiderwinch:layout:1" epoch="1" next="2" replicas="2">
  <searcher id="a" zone="x"/><searcher id="b" zone="y"/><searcher id="c" zone="x"/><searcher id="d" zone="y"/>
  <segment id="0" to="m"><holder searcher="a"/><holder searcher="b"/></segment>
  <segment id="1" from="m"><holder searcher="a"/><holder searcher="b"/></segment>
</layout>
`

// writeFile writes a file in a new folder and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLayoutCheck(t *testing.T) {
	valid := writeFile(t, "valid.xml", layoutText)
	if code, out, errs := runCommand(t, nil, "layout", "check", valid); code != exitOK || !strings.Contains(out, "2 segments serving") {
		t.Errorf("code %d, %q, %q", code, out, errs)
	}
	invalid := writeFile(t, "invalid.xml", strings.NewReplacer(`zone="x"/><searcher id="b"`, `/><searcher id="b"`, `id="1"`, `id="x"`).Replace(layoutText))
	code, _, errs := runCommand(t, nil, "layout", "check", invalid)
	if code != exitConfig || !strings.Contains(errs, "invalid.xml:2: <searcher>") || !strings.Contains(errs, "invalid.xml:4: <segment>") {
		t.Errorf("code %d, %q", code, errs)
	}
	tooFewHolders := writeFile(t, "few.xml", strings.Replace(layoutText, `<holder searcher="b"/></segment>`, `</segment>`, 1))
	for _, c := range []struct {
		path   string
		ok     bool
		faults int
	}{{valid, true, 0}, {invalid, false, 2}, {tooFewHolders, false, 1}} {
		code, out, _ := runCommand(t, nil, "layout", "check", "--json", c.path)
		var got struct {
			OK     bool
			Faults []struct{ Line int }
		}
		if err := json.Unmarshal([]byte(out), &got); err != nil || got.OK != c.ok || len(got.Faults) != c.faults || (code == exitOK) != c.ok {
			t.Errorf("%s: code %d, %v, %s", c.path, code, err, out)
		}
	}
}

func TestLayoutDiff(t *testing.T) {
	old := writeFile(t, "old.xml", layoutText)
	next := writeFile(t, "new.xml", strings.Replace(strings.Replace(layoutText, `epoch="1"`, `epoch="2"`, 1), `<holder searcher="b"/></segment>`, `<holder searcher="d"/></segment>`, 1))
	if code, out, _ := runCommand(t, nil, "layout", "diff", old, next); code != exitOK || !strings.Contains(out, "1 differences") || !strings.Contains(out, "segment 0: holders [a d]") {
		t.Errorf("code %d, %q", code, out)
	}
	if _, out, _ := runCommand(t, nil, "layout", "diff", "--json", old, next); !strings.Contains(out, `"kind": "moved"`) {
		t.Errorf("have %s", out)
	}
}

func TestLayoutPlan(t *testing.T) {
	file := writeFile(t, "l.xml", layoutText)
	loads := writeFile(t, "loads.csv", "# segment, parts a second, median key, share below\n0, 300, f, 0.5\n1, 20, p, 0.5\n")
	code, out, errs := runCommand(t, nil, "layout", "plan", file, loads)
	if code != exitOK || !strings.Contains(out, `split [0] at "f"`) || !strings.Contains(out, "300.0 parts a second") {
		t.Errorf("code %d, %q, %q", code, out, errs)
	}
	lowLoad := writeFile(t, "low.csv", "0, 50, f, 0.5\n1, 50, p, 0.5\n")
	if _, out, _ := runCommand(t, nil, "layout", "plan", "--json", file, lowLoad); strings.Contains(out, "split") {
		t.Errorf("have %s", out)
	}
	for text, want := range map[string]string{"9, 1, a, 0\n": `found segment "9"`, "0, x, a, 0\n": `found "x" parts`, "0, 1, a, 2\n": `found share "2"`, "0, 1\n": "wrong number of fields"} {
		if code, _, errs := runCommand(t, nil, "layout", "plan", file, writeFile(t, "invalid.csv", text)); code != exitConfig || !strings.Contains(errs, want) {
			t.Errorf("%q: code %d, %q", text, code, errs)
		}
	}
}

// serve --layout binds queries to the epochs of the layout file. SIGHUP reads the next epoch from it; an invalid
// file changes nothing.
func TestServeReloadsLayoutFile(t *testing.T) {
	s, d := testpeer.NewSearcher(t), testpeer.NewDiscovery(t)
	file := writeFile(t, "layout.xml", serveLayout(1, 1, `<segment id="0"><holder searcher="s"/></segment>`))
	p := launchWith(t, buildProgram(t), []string{"serve", "--layout", file}, fmt.Sprintf(configText, d.Addr, testpeer.Member("s", s.Addr, "Ready", 0), settingsText))
	_, addr, _ := strings.Cut(p.waitForLog(t, "msg=serving"), "addr=")
	addr, _, _ = strings.Cut(addr, " ")
	c := testpeer.NewClient(t, addr)
	ask := func(trace string, segments ...int) {
		t.Helper()
		c.Send(testpeer.Query("search", trace, time.Minute, 1)) // segment 0
		var got []int
		for range segments {
			part := testpeer.Receive(t, s.Parts, "a part")
			got = append(got, part.Shard)
			part.Answer("served", 1, "v")
		}
		slices.Sort(got)
		if resp, body := c.ReadResponse(); resp.StatusCode != 200 || !slices.Equal(got, segments) {
			t.Errorf("%s: %s %s, parts of segments %v", trace, resp.Status, body, got)
		} else if epoch := resp.Header.Get("X-Layout-Epoch"); epoch != map[int]string{1: "1", 2: "3"}[len(segments)] {
			t.Errorf("%s: epoch %q", trace, epoch)
		}
	}
	ask("t1", 0)
	reloadWith := func(text, logged string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_ = p.Process.Signal(syscall.SIGHUP)
		p.waitForLog(t, logged)
	}
	reloadWith("<layout", "layout not reloaded")
	ask("t2", 0)
	reloadWith(serveLayout(3, 3, `<segment id="1" to="k"><holder searcher="s"/></segment><segment id="2" from="k"><holder searcher="s"/></segment>
		<was segment="0" since="3"><heir segment="1" share="0.5"/><heir segment="2" share="0.5"/></was>`), "msg=layout")
	ask("t3", 1, 2)
	_ = p.Process.Signal(syscall.SIGTERM)
	for range p.lines {
	}
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// serveLayout returns a layout file with one searcher.
func serveLayout(epoch, next int, segments string) string {
	return fmt.Sprintf(`<layout xmlns="urn:eiderwinch:layout:1" epoch="%d" next="%d" replicas="1"><searcher id="s" zone="x"/>%s</layout>`, epoch, next, segments)
}

func TestServeRejectsInvalidLayout(t *testing.T) {
	file := writeFile(t, "layout.xml", serveLayout(1, 1, `<segment id="0" to="k"><holder searcher="s"/></segment>`))
	p := launchWith(t, buildProgram(t), []string{"serve", "--layout", file}, fmt.Sprintf(configText, "127.0.0.1:1", "", settingsText))
	p.waitForLog(t, "keys that no serving segment holds")
	for range p.lines {
	}
	if _ = p.Wait(); p.ProcessState.ExitCode() != exitConfig {
		t.Errorf("the program ended with %v", p.ProcessState)
	}
}
