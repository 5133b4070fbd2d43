package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/trial/testpeer"
)

// member is one gatherer of a fleet: the built program with an operators' file.
type member struct {
	*program
	ops, listen string
}

// testFleet starts gatherers that discover each other through the first one, the seed.
type testFleet struct {
	t         *testing.T
	path      string
	dir       string
	discovery *testpeer.Discovery
	seed      string // address of the first gatherer
	starts    int    // number of starts so far

	slots []string // addresses by slot number, if the limits are divided
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t, path: buildProgram(t), dir: t.TempDir(), discovery: testpeer.NewDiscovery(t)}
	f.writeFile("keys.xml", testpeer.KeyFile("k"))
	return f
}

func (f *testFleet) writeFile(name, text string) string {
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start starts a gatherer with a name. listen is its fleet address, or empty for a new one.
func (f *testFleet) start(name, listen string) *member {
	f.t.Helper()
	if listen == "" {
		listen = freeAddr(f.t)
	}
	if f.seed == "" {
		f.seed = listen
	}
	f.starts++
	file := fmt.Sprint(name, ".", f.starts)
	slots, settings := "", settingsText
	for i, addr := range f.slots {
		slots += fmt.Sprintf("<slot number=\"%d\" addr=%q/>", i, addr)
		if addr == listen {
			settings = strings.Replace(settingsText, "{", fmt.Sprintf(`{"balancers":%d,"my_number":%d,`, len(f.slots), i), 1)
		}
	}
	m := &member{listen: listen, ops: f.writeFile(file+".xml", fmt.Sprintf(`<eiderwinch xmlns="urn:eiderwinch:operators:1"><admin endpoint="unix:%s/%s"/>`+
		`<fleet name="test" listen=%q keys="keys.xml" key="k" lease="300ms"><seed addr=%q/>%s</fleet></eiderwinch>`, f.dir, file, listen, f.seed, slots))}
	m.program = launchWith(f.t, f.path, []string{"serve", "--file", m.ops},
		fmt.Sprintf(configText, f.discovery.Addr, testpeer.Member("s", "127.0.0.1:1", "Ready", 0), settings), "LB_NAME="+name)
	_, m.addr, _ = strings.Cut(m.waitForLog(f.t, "msg=serving"), "addr=")
	m.addr, _, _ = strings.Cut(m.addr, " ")
	return m
}

// state returns a gatherer's view of the fleet.
func (m *member) state(t *testing.T) (s admin.FleetState, ok bool) {
	code, out, _ := runCommand(t, nil, "fleet", "status", "--json", "--file", m.ops)
	return s, code == exitOK && json.Unmarshal([]byte(out), &s) == nil
}

// waitConverged waits until all members count the wanted number of members with the same digest, logs how long
// that took, and fails the test if it took longer than limit.
func (f *testFleet) waitConverged(what string, limit time.Duration, want int, members ...*member) {
	f.t.Helper()
	began := time.Now()
	testpeer.WaitUntil(f.t, what, func() bool {
		digest := ""
		for _, m := range members {
			s, ok := m.state(f.t)
			if !ok || s.Counted != want || digest != "" && s.Digest != digest {
				return false
			}
			digest = s.Digest
		}
		return true
	})
	took := time.Since(began)
	f.t.Logf("%s: converged after %v", what, took.Round(time.Millisecond))
	if took > limit {
		f.t.Errorf("%s: converged after %v, want at most %v", what, took, limit)
	}
}

// Gatherers of the built program discover each other and notice when one is killed, restarted, stopped, continued,
// or ends. The bounds allow for a machine under other load; see docs/fleet-view.md for measured times.
func TestFleetViewsConverge(t *testing.T) {
	f := newTestFleet(t)
	var all []*member
	for i := range 4 {
		all = append(all, f.start(fmt.Sprint("g", i), ""))
	}
	f.waitConverged("four start", 10*time.Second, 4, all...)

	_ = all[3].Process.Kill()
	f.waitConverged("one is killed", 10*time.Second, 3, all[:3]...)
	all[3] = f.start("g3", all[3].listen)
	f.waitConverged("it is restarted", 10*time.Second, 4, all...)

	_ = all[2].Process.Signal(syscall.SIGSTOP)
	f.waitConverged("one is stopped", 10*time.Second, 3, all[0], all[1], all[3])
	_ = all[2].Process.Signal(syscall.SIGCONT)
	f.waitConverged("it continues", 10*time.Second, 4, all...)

	_ = all[1].Process.Signal(syscall.SIGTERM)
	all[1].waitForLog(t, "msg=counters")
	f.waitConverged("one ends", 10*time.Second, 3, all[0], all[2], all[3])

	newer := f.start("g3", freeAddr(t)) // a second process with the same name
	waitForJSON(t, "the older process steps down", func(s admin.FleetState) bool { return s.Replaced }, "fleet", "status", "--json", "--file", all[3].ops)
	f.waitConverged("the newer process counts", 10*time.Second, 3, all[0], all[2], newer)
	code, out, _ := runCommand(t, nil, "fleet", "members", "--file", all[0].ops)
	if code != exitOK || !strings.Contains(out, newer.listen) || !strings.Contains(out, "left") {
		t.Errorf("code %d\n%s", code, out)
	}
	if code, out, _ := runCommand(t, nil, "fleet", "status", "--file", all[3].ops); code != exitOK || !strings.Contains(out, "a newer process bears its name") {
		t.Errorf("code %d\n%s", code, out)
	}
}

// A gatherer with a slot leaves its fleet and keeps serving. The gatherer with the next slot takes over its slot.
func TestLeavingGathererReleasesItsSlots(t *testing.T) {
	f := newTestFleet(t)
	var all []*member
	for range 3 {
		f.slots = append(f.slots, freeAddr(t))
	}
	for i := range 3 {
		all = append(all, f.start(fmt.Sprint("g", i), f.slots[i]))
	}
	f.waitConverged("three start", 10*time.Second, 3, all...)
	endpoint := func(m *member) string { return "unix:" + strings.TrimSuffix(m.ops, ".xml") }
	check := func() (code int, out string) {
		code, out, _ = runCommand(t, nil, "fleet", "check", endpoint(all[0]), endpoint(all[1]), endpoint(all[2]))
		return code, out
	}
	testpeer.WaitUntil(t, "all hold their slots", func() bool { code, out := check(); return code == exitOK && strings.Contains(out, "3 slots") })
	signals := make(chan os.Signal, 1)
	watchOutput := make(chan string)
	go func() {
		_, out, _ := runCommand(t, signals, "fleet", "watch", "--every", "20ms", "--file", all[2].ops)
		watchOutput <- out
	}()
	if code, out, errs := runCommand(t, nil, "fleet", "leave", "--file", all[1].ops); code != exitOK {
		t.Fatalf("code %d %s%s", code, out, errs)
	}
	waitForJSON(t, "the gatherer with the next slot takes over the slot", func(s admin.FleetState) bool { return s.Share.Slots == 2 }, "fleet", "status", "--json", "--file", all[2].ops)
	if code, out := check(); code != exitFailure || !strings.Contains(out, "left its fleet") || !strings.Contains(out, "3 slots") {
		t.Errorf("code %d, %s", code, out)
	}
	c := testpeer.NewClient(t, all[1].addr)
	if resp, _ := c.Send("GET /_health HTTP/1.1\r\n\r\n").ReadResponse(); resp.StatusCode != 200 {
		t.Errorf("health of the gatherer that left: %s", resp.Status)
	}
	time.Sleep(100 * time.Millisecond) // so that the watch sees the change
	signals <- syscall.SIGTERM
	if out := testpeer.Receive(t, watchOutput, "the watch ends"); !strings.Contains(out, "holds 2 slots, g1 left") {
		t.Errorf("have %s", out)
	}
	if code, out, _ := runCommand(t, nil, "fleet", "check", "--json", endpoint(all[0]), endpoint(all[2])); code != exitOK || !strings.Contains(out, `"settled": true`) {
		t.Errorf("code %d, %s", code, out)
	}
}

// A gatherer that can't join its fleet logs the reason and exits.
func TestFailedFleetJoinEndsProgram(t *testing.T) {
	f := newTestFleet(t)
	for what, c := range map[string]struct{ name, ops, want string }{
		"no name":      {"", `key="k"`, "LB_NAME"},
		"no such key":  {"g", `key="x"`, "unknown key"},
		"a port taken": {"g", `key="k"`, "address already in use"},
	} {
		listen := freeAddr(t)
		if what == "a port taken" {
			l, err := net.Listen("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
		}
		ops := f.writeFile("ops.xml", fmt.Sprintf(`<eiderwinch xmlns="urn:eiderwinch:operators:1"><fleet name="test" listen=%q keys="keys.xml" %s/></eiderwinch>`, listen, c.ops))
		p := launchWith(t, f.path, []string{"serve", "--file", ops},
			strings.Replace(fmt.Sprintf(configText, f.discovery.Addr, testpeer.Member("s", "127.0.0.1:1", "Ready", 0), settingsText), `"name":"n0"`, `"name":""`, 1), "LB_NAME="+c.name)
		p.waitForLog(t, c.want)
		for range p.lines {
		}
		if _ = p.Wait(); p.ProcessState.ExitCode() != exitFailure {
			t.Errorf("%s: the program ended with %v", what, p.ProcessState)
		}
	}
}
