package change

import "testing"

// Guards against a reload that applies what nobody asked for: a text that was undone, or the files in place of a change
// that was applied without writing it to them.
func TestWhatBecomesOfAReload(t *testing.T) {
	hash := func(b byte) Hash { return Hash{b} }
	atStart := Files{Platform: hash(1), Subject: hash('a')}
	for name, c := range map[string]struct {
		read      []Files // one reload after the other
		situation Situation
		want      ReloadDecision // about the last one
	}{
		"the same files":                          {[]Files{atStart}, Situation{Confirmed: hash('a')}, ReloadUnchanged},
		"a move":                                  {[]Files{{hash(2), hash('a')}}, Situation{Confirmed: hash('a')}, ReloadUnchanged},
		"a change":                                {[]Files{{hash(1), hash('b')}}, Situation{Confirmed: hash('a')}, ReloadApply},
		"a change with a move":                    {[]Files{{hash(2), hash('b')}}, Situation{Confirmed: hash('a')}, ReloadApply},
		"a change that is on probation":           {[]Files{{hash(1), hash('b')}, {hash(1), hash('b')}}, Situation{hash('a'), true, hash('b')}, ReloadOnProbation},
		"a move during its probation":             {[]Files{{hash(1), hash('b')}, {hash(2), hash('b')}}, Situation{hash('a'), true, hash('b')}, ReloadOnProbation},
		"a move after its undo":                   {[]Files{{hash(1), hash('b')}, {hash(2), hash('b')}}, Situation{Confirmed: hash('a')}, ReloadPlatformOnly},
		"the operators' signal after its undo":    {[]Files{{hash(1), hash('b')}, {hash(1), hash('b')}}, Situation{Confirmed: hash('a')}, ReloadApply},
		"a move after a change that was staged":   {[]Files{{hash(2), hash('a')}}, Situation{Confirmed: hash('c')}, ReloadPlatformOnly},
		"the operators' signal after such change": {[]Files{atStart}, Situation{Confirmed: hash('c')}, ReloadApply},
		"a change during another":                 {[]Files{{hash(1), hash('b')}}, Situation{hash('a'), true, hash('c')}, ReloadWait},
		"a move while that waits":                 {[]Files{{hash(1), hash('b')}, {hash(2), hash('b')}}, Situation{hash('a'), true, hash('c')}, ReloadWait},
		"the confirmed files while that waits":    {[]Files{{hash(1), hash('b')}, atStart}, Situation{hash('a'), true, hash('c')}, ReloadUnchanged},
		"a move during the probation of another":  {[]Files{{hash(2), hash('a')}}, Situation{hash('a'), true, hash('c')}, ReloadUnchanged},
	} {
		r := NewReloads(atStart)
		var have ReloadDecision
		for _, f := range c.read {
			have = r.Read(f, c.situation)
		}
		if have != c.want {
			t.Errorf("%s: decided %d, want %d", name, have, c.want)
		}
		if r.Waits() != (c.want == ReloadWait) {
			t.Errorf("%s: waits %t", name, r.Waits())
		}
	}
}
