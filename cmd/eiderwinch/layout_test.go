package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const layoutText = `<layout xmlns="urn:eiderwinch:layout:1" epoch="1" next="2" replicas="2">
  <searcher id="a" zone="x"/><searcher id="b" zone="y"/><searcher id="c" zone="x"/><searcher id="d" zone="y"/>
  <segment id="0" to="m"><holder searcher="a"/><holder searcher="b"/></segment>
  <segment id="1" from="m"><holder searcher="a"/><holder searcher="b"/></segment>
</layout>
`

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLayoutCheck(t *testing.T) {
	good := write(t, "good.xml", layoutText)
	if code, out, errs := call(t, nil, "layout", "check", good); code != exitOK || !strings.Contains(out, "2 segments serving") {
		t.Errorf("code %d, %q, %q", code, out, errs)
	}
	bad := write(t, "bad.xml", strings.NewReplacer(`zone="x"/><searcher id="b"`, `/><searcher id="b"`, `id="1"`, `id="x"`).Replace(layoutText))
	code, _, errs := call(t, nil, "layout", "check", bad)
	if code != exitConfig || !strings.Contains(errs, "bad.xml:2: <searcher>") || !strings.Contains(errs, "bad.xml:4: <segment>") {
		t.Errorf("code %d, %q", code, errs)
	}
	lonely := write(t, "lonely.xml", strings.Replace(layoutText, `<holder searcher="b"/></segment>`, `</segment>`, 1))
	for _, at := range []struct {
		path   string
		ok     bool
		faults int
	}{{good, true, 0}, {bad, false, 2}, {lonely, false, 1}} {
		code, out, _ := call(t, nil, "layout", "check", "--json", at.path)
		var got struct {
			OK     bool
			Faults []struct{ Line int }
		}
		if err := json.Unmarshal([]byte(out), &got); err != nil || got.OK != at.ok || len(got.Faults) != at.faults || (code == exitOK) != at.ok {
			t.Errorf("%s: code %d, %v, %s", at.path, code, err, out)
		}
	}
}

func TestLayoutDiff(t *testing.T) {
	old := write(t, "old.xml", layoutText)
	next := write(t, "new.xml", strings.Replace(strings.Replace(layoutText, `epoch="1"`, `epoch="2"`, 1), `<holder searcher="b"/></segment>`, `<holder searcher="d"/></segment>`, 1))
	if code, out, _ := call(t, nil, "layout", "diff", old, next); code != exitOK || !strings.Contains(out, "1 differences") || !strings.Contains(out, "segment 0: holders [a d]") {
		t.Errorf("code %d, %q", code, out)
	}
	if _, out, _ := call(t, nil, "layout", "diff", "--json", old, next); !strings.Contains(out, `"kind": "moved"`) {
		t.Errorf("have %s", out)
	}
}

func TestLayoutPlan(t *testing.T) {
	file := write(t, "l.xml", layoutText)
	loads := write(t, "loads.csv", "# segment, parts a second, median key, share below\n0, 300, f, 0.5\n1, 20, p, 0.5\n")
	code, out, errs := call(t, nil, "layout", "plan", file, loads)
	if code != exitOK || !strings.Contains(out, `split [0] at "f"`) || !strings.Contains(out, "300.0 parts a second") {
		t.Errorf("code %d, %q, %q", code, out, errs)
	}
	quiet := write(t, "quiet.csv", "0, 50, f, 0.5\n1, 50, p, 0.5\n")
	if _, out, _ := call(t, nil, "layout", "plan", "--json", file, quiet); strings.Contains(out, "split") {
		t.Errorf("have %s", out)
	}
	for text, want := range map[string]string{"9, 1, a, 0\n": `found segment "9"`, "0, x, a, 0\n": `found "x" parts`, "0, 1, a, 2\n": `found share "2"`, "0, 1\n": "wrong number of fields"} {
		if code, _, errs := call(t, nil, "layout", "plan", file, write(t, "bad.csv", text)); code != exitConfig || !strings.Contains(errs, want) {
			t.Errorf("%q: code %d, %q", text, code, errs)
		}
	}
}
