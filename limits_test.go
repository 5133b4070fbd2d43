package eiderwinch

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestModuleLimits holds the module, all files that the deploy file names as its policy, to what a
// person on call can read in a night.
func TestModuleLimits(t *testing.T) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	list := regexp.MustCompile(`(?m)^policy = .*$`).Find(deploy)
	files := regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list, -1)
	if len(files) == 0 {
		t.Fatal("deploy/balancer.toml: found no policy files, want some")
	}
	for _, f := range files {
		text, err := os.ReadFile(string(f[1]))
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(l) != "" {
				lines++
			}
			if width := len([]rune(strings.ReplaceAll(l, "\t", "    "))); width > 110 {
				t.Errorf("%s: line %d is %d characters wide, 110 are allowed", f[1], i+1, width)
			}
		}
	}
	if lines > 1000 {
		t.Errorf("%d lines that are not blank, 1,000 are allowed", lines)
	}
}
