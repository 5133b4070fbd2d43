package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/layoutfile"
	"eiderwinch/internal/layout/reshard"
	"eiderwinch/internal/trial/fake"
)

// reshardDeployment is a deployment whose layout changes: fake searchers, and the built program as gatherer
// and as coordinator.
type reshardDeployment struct {
	dir, path, ops string
	deployment     *fake.Deployment
	catalogue      *fake.ShardedCatalogue
}

func newReshardDeployment(t *testing.T) *reshardDeployment {
	d := &reshardDeployment{dir: t.TempDir(), path: buildProgram(t)}
	d.ops = filepath.Join(d.dir, "eiderwinch.xml")
	d.deployment = startDeployment(t, fake.DeploymentOptions{
		Searchers: 4, Zones: 2, Cells: 2, Seed: 1,
		Handler: func(l *layout.Layout) fake.Handler {
			d.catalogue = fake.NewShardedCatalogue(fake.ShardedCatalogueOptions{Keys: 20, Seed: 1}, l)
			return d.catalogue
		},
		Layout: func(ids, _ []string) *layout.Layout {
			l, err := layout.First(layout.Segment{Holders: []string{ids[0], ids[2]}})
			if err != nil {
				t.Fatal(err)
			}
			return l
		},
	})
	var peers strings.Builder
	for _, s := range d.deployment.Searchers {
		server := fake.NewAssignmentServer(s.ID(), d.catalogue, filepath.Join(d.dir, s.ID()))
		if err := server.Open(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		fmt.Fprintf(&peers, `<searcher name=%q endpoint=%q/>`, s.ID(), server.Endpoint())
	}
	var text strings.Builder
	if err := layoutfile.Write(&text, d.deployment.InitialLayout(), d.deployment.Fleet(2)); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"layout.xml": text.String(), "first.xml": text.String(),
		"eiderwinch.xml": fmt.Sprintf(`<eiderwinch xmlns="urn:eiderwinch:operators:1">
			<admin endpoint="unix:%[1]s/g"/><layout file="layout.xml" follow="true"/>
			<coordinator endpoint="unix:%[1]s/co" log="changes.db" layout="first.xml" poll="20ms">
			<gatherer name="g" endpoint="unix:%[1]s/g"/>%[2]s</coordinator></eiderwinch>`, d.dir, peers.String()),
	} {
		if err := os.WriteFile(filepath.Join(d.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// startGatherer starts a gatherer, waits until it serves and returns its address.
func (d *reshardDeployment) startGatherer(t *testing.T) (p *program, addr string) {
	text, err := d.deployment.Config("g", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p = launchWith(t, d.path, []string{"serve", "--file", d.ops}, string(text))
	_, addr, _ = strings.Cut(p.waitForLog(t, "msg=serving"), "addr=")
	addr, _, _ = strings.Cut(addr, " ")
	return p, addr
}

// startCoordinator starts a coordinator and waits until it runs.
func (d *reshardDeployment) startCoordinator(t *testing.T) *program {
	p := launchWith(t, d.path, []string{"coordinate", d.ops}, "{}")
	p.waitForLog(t, "msg=coordinating")
	return p
}

// waitForStatus waits until the status of the coordinator satisfies condition, and returns that status.
func (d *reshardDeployment) waitForStatus(t *testing.T, what string, condition func(admin.CoordinatorStatus) bool) admin.CoordinatorStatus {
	t.Helper()
	return waitForJSON(t, what, condition, "layout", "status", "--json", "--file", d.ops)
}

// waitForJSON repeats a command until the JSON that it prints satisfies condition, and returns the decoded JSON. It fails
// the test after 30 s.
func waitForJSON[S any](t *testing.T, what string, condition func(S) bool, args ...string) S {
	t.Helper()
	var s S
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		code, out, _ := runCommand(t, nil, args...)
		s = *new(S)
		if code == exitOK && json.Unmarshal([]byte(out), &s) == nil && condition(s) {
			return s
		}
	}
	t.Fatalf("timed out waiting for %s: %+v", what, s)
	return s
}

// postSearch sends a gatherer a query for segment 0 and returns the answer without its body.
func postSearch(t *testing.T, addr, trace, statement string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/search", strings.NewReader(`{"tablets":[{"tablet":0,"fraction":1}],"statement":"`+statement+`"}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Trace-Id", trace)
	req.Header.Set("X-Qos", "search")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp
}

// queryEpoch sends a query and returns the layout epoch in which it was answered.
func queryEpoch(t *testing.T, addr, trace string) string {
	t.Helper()
	resp := postSearch(t, addr, trace, "scan a z")
	if resp.StatusCode != http.StatusOK {
		t.Errorf("%s: %s", trace, resp.Status)
	}
	return resp.Header.Get("X-Layout-Epoch")
}

// kill kills the program and waits for its end.
func (p *program) kill(t *testing.T) {
	t.Helper()
	_ = p.Process.Kill()
	for range p.lines {
	}
	_ = p.Wait()
}

// The built program runs as gatherer and as coordinator and moves a segment between searchers. Both processes are killed
// during the move: the change continues after the restart, and no process goes back to an older epoch.
func TestSegmentMoveSurvivesKills(t *testing.T) {
	d := newReshardDeployment(t)
	g, addr := d.startGatherer(t)
	co := d.startCoordinator(t)
	d.waitForStatus(t, "a gatherer that answers", func(s admin.CoordinatorStatus) bool { return s.Epoch == 1 && s.Gatherers[0].Up })
	if e := queryEpoch(t, addr, "t1"); e != "1" {
		t.Errorf("epoch %s, want 1", e)
	}

	changes := filepath.Join(d.dir, "changes.json")
	writeChanges := func(text string) {
		if err := os.WriteFile(changes, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeChanges(`{"epoch":9,"changes":[{"change":"move","segments":[0],"holders":[["s-01","s-03"]]}]}`)
	if code, _, errs := runCommand(t, nil, "layout", "apply", "--file", d.ops, changes); code != exitFailure || !strings.Contains(errs, "the changes are for epoch 9, in force is 1") {
		t.Errorf("for another epoch: code %d, %s", code, errs)
	}
	writeChanges(`{"changes":[{"change":"move","segments":[0],"holders":[["s-01"]]}]}`)
	if code, _, errs := runCommand(t, nil, "layout", "apply", "--file", d.ops, changes); code != exitFailure || !strings.Contains(errs, "too few holders") {
		t.Errorf("to one holder: code %d, %s", code, errs)
	}
	writeChanges(`{"epoch":1,"changes":[{"change":"move","segments":[0],"holders":[["s-01","s-03"]]}]}`)
	if code, out, errs := runCommand(t, nil, "layout", "apply", "--at", "unix:"+d.dir+"/co", changes); code != exitOK || !strings.Contains(out, "is job 1") {
		t.Fatalf("code %d, %s%s", code, out, errs)
	}
	co.kill(t)
	if code, _, _ := runCommand(t, nil, "layout", "status", "--file", d.ops); code != exitFailure {
		t.Errorf("status without a coordinator: code %d", code)
	}
	co = d.startCoordinator(t)
	s := d.waitForStatus(t, "the cut-over", func(s admin.CoordinatorStatus) bool {
		return len(s.Jobs) == 1 && s.Jobs[0].Phase == reshard.Cutting.String() && s.Gatherers[0].Epoch == s.Epoch
	})
	if s.Term != 2 || s.Epoch < 3 {
		t.Errorf("term %d, epoch %d", s.Term, s.Epoch)
	}
	if e := queryEpoch(t, addr, "t2"); e != fmt.Sprint(s.Epoch) {
		t.Errorf("epoch %s, want %d", e, s.Epoch)
	}
	if code, _, errs := runCommand(t, nil, "layout", "abort", "--file", d.ops, "1"); code != exitFailure || !strings.Contains(errs, "can only go forward") {
		t.Errorf("an abort after the cut-over: code %d, %s", code, errs)
	}
	if code, out, _ := runCommand(t, nil, "layout", "status", "--file", d.ops); code != exitOK || !strings.Contains(out, "cutting") {
		t.Errorf("status: code %d, %s", code, out)
	}

	// A gatherer that is killed never goes back to an older epoch.
	co.kill(t)
	g.kill(t)
	g, addr = d.startGatherer(t)
	if e := queryEpoch(t, addr, "t3"); e != fmt.Sprint(s.Epoch) {
		t.Errorf("epoch %s after a restart, want %d", e, s.Epoch)
	}
	// A coordinator whose log is lost starts from the first layout. The searchers must not obey it.
	if err := os.Remove(filepath.Join(d.dir, "changes.db")); err != nil {
		t.Fatal(err)
	}
	withoutLog := d.startCoordinator(t)
	withoutLog.waitForLog(t, "searchers obey a coordinator of a later term")
	for range withoutLog.lines {
	}
	if _ = withoutLog.Wait(); withoutLog.ProcessState.ExitCode() != exitFailure {
		t.Errorf("the coordinator without its log ended with %v", withoutLog.ProcessState)
	}
	if held := d.catalogue.Held("s-01"); len(held) != 1 {
		t.Errorf("the coordinator without its log made a new holder drop its segment: it holds %v", held)
	}
	_ = g.Process.Signal(syscall.SIGTERM)
	for range g.lines {
	}
	if err := g.Wait(); err != nil {
		t.Errorf("the gatherer ended with %v", err)
	}
}
