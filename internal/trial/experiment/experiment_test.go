package experiment

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"eiderwinch/internal/trial/emulator"
)

const text = `<experiment xmlns="urn:eiderwinch:scenario:1" seeds="2">
  <scenario name="a" duration="2s"/><scenario name="b" duration="2s" gatherers="1"><fault kind="crash" at="1s" for="1s" many="2"/></scenario>
  <sweep of="load"><value is="0.5"/><value is="1"/></sweep></experiment>`

func read(t *testing.T, text string) *emulator.Experiment {
	t.Helper()
	x, err := emulator.ReadExperiment("x.xml", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// Guards against an experiment that, when it is resumed after a kill, repeats finished runs or ends with other results
// than one that was not interrupted. The kill leaves an incomplete last line in the file of results.
func TestInterruptedExperimentResumes(t *testing.T) {
	x := read(t, text)
	path := filepath.Join(t.TempDir(), "x.results")
	whole, err := RunAll(context.Background(), x, path, 4, func(int, int) {})
	if err != nil || len(whole) != 8 {
		t.Fatalf("%d runs, %v", len(whole), err)
	}
	lines, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	truncated := bytes.Join(bytes.SplitAfter(lines, []byte("\n"))[:3], nil)
	if err := os.WriteFile(path, append(truncated, `{"scenario":"a","val`...), 0o600); err != nil {
		t.Fatal(err)
	}
	first := -1
	resumed, err := RunAll(context.Background(), x, path, 2, func(finished, _ int) {
		if first < 0 {
			first = finished
		}
	})
	if err != nil || first != 3 || !reflect.DeepEqual(whole, resumed) {
		t.Errorf("resumed experiment began with %d runs and ended with %d, %v", first, len(resumed), err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := RunAll(ctx, x, filepath.Join(t.TempDir(), "y"), 2, func(int, int) {}); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled experiment: %v", err)
	}
	if err := os.WriteFile(path, append([]byte("{\n"), lines...), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "x.results:1:") {
		t.Errorf("malformed line in the middle: %v", err)
	}

	var table, page bytes.Buffer
	if err := WriteCSV(&table, whole); err != nil || strings.Count(table.String(), "\n") != 1+8*3 {
		t.Errorf("%v, %s", err, table.String())
	}
	if err := Report(&page, "x <y>", x.SweptAttribute, whole); err != nil {
		t.Fatal(err)
	}
	html := page.String()
	if strings.Count(html, "<svg") != 2+4+4 || strings.Contains(html, "x <y>") || strings.Contains(html, "src=") || strings.Contains(html, "<link") {
		t.Errorf("%d plots in %d bytes", strings.Count(html, "<svg"), len(html))
	}
}

// Guards against confidence intervals that are too narrow or too wide, and against a failure on a single value.
func TestIntervals(t *testing.T) {
	i := interval([]float64{1, 2, 3, 4})
	// Student's t with 3 degrees of freedom: 3.1824 at 97.5%.
	if half := 3.1824 * math.Sqrt(5./3) / 2; i.Mean != 2.5 || math.Abs(i.High-2.5-half) > 1e-3 || math.Abs(2.5-i.Low-half) > 1e-3 {
		t.Errorf("have %+v", i)
	}
	if i := interval([]float64{7}); i != (Interval{7, 7, 7}) {
		t.Errorf("interval of one value: %+v", i)
	}
}

// Guards against errors in a scenario file that are accepted or reported unclearly, against a schema in deploy that does
// not match the form, and against files in experiments that can't be read.
func TestFileFaultsAndSchema(t *testing.T) {
	for original, want := range map[string]string{
		`name="b"`:      `x.xml:2: <scenario>: found a second scenario a`,
		`many="2"`:      `found 13 from 0 on, want some of 12`,
		`kind="crash"`:  `found kind="boom", want crash, pause`,
		`duration="2s"`: `found duration="2", want a time with its unit`,
	} {
		replacement := map[string]string{`name="b"`: `name="a"`, `many="2"`: `many="13"`, `kind="crash"`: `kind="boom"`, `duration="2s"`: `duration="2"`}[original]
		if _, err := emulator.ReadExperiment("x.xml", strings.NewReader(strings.Replace(text, original, replacement, 1))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: have %v, want %s", replacement, err, want)
		}
	}
	schema, err := os.ReadFile("../../../deploy/scenario.xsd")
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := errors.Join(emulator.Form().Check(), emulator.Form().Schema(&b)); err != nil || b.String() != string(schema) {
		t.Errorf("deploy/scenario.xsd does not match the form: %v", err)
	}
	files, _ := filepath.Glob("../../../experiments/*.xml")
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := emulator.ReadExperiment(path, f); err != nil {
			t.Error(err)
		}
		f.Close()
	}
	if len(files) == 0 {
		t.Error("found no files in experiments")
	}
}
