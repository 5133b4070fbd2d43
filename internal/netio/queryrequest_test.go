package netio

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"eiderwinch/internal/gatherer"
)

func TestElementsAreCountedWithoutReadingThem(t *testing.T) {
	for text, want := range map[string]int{
		`[]`: 0, " [ \n]": 0, `[1]`: 1, `[ "" ]`: 1, `[[]]`: 1, `[{},{}]`: 2, `[1,[2,3],{"a":[4,5],"b":6}]`: 3,
		`["a,b","c\",d\\",","]`: 3, `null`: 1, `{"a":1}`: 1, `[null,null]`: 2,
	} {
		if !json.Valid([]byte(text)) {
			t.Fatalf("%s is no JSON", text)
		}
		if got := countElements([]byte(text)); got != want {
			t.Errorf("%s: have %d, want %d", text, got, want)
		}
	}
}

// A query with more parts than there are shards can't be valid, and its parts would take many times its bytes.
func TestMorePartsThanShardsAreRejectedUnread(t *testing.T) {
	wide := json.RawMessage("[" + strings.TrimSuffix(strings.Repeat(`{"tablet":1},`, 5), ",") + "]")
	if list, err := parseTablets(wide, 5); err != nil || len(list) != 5 {
		t.Errorf("five parts of five shards: %d parts, %v", len(list), err)
	}
	if _, err := parseTablets(wide, 4); !errors.Is(err, gatherer.ErrInvalid) || !strings.Contains(err.Error(), "found 5 parts, want at most 4") {
		t.Errorf("five parts of four shards: %v", err)
	}
	if list, err := parseTablets(wide, 0); err != nil || len(list) != 5 {
		t.Errorf("no limit: %d parts, %v", len(list), err)
	}
	allocations := testing.AllocsPerRun(10, func() { _, _ = parseTablets(wide, 4) })
	if allocations > 10 {
		t.Errorf("%v allocations for a list that is rejected", allocations)
	}
}
