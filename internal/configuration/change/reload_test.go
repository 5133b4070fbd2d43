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
		unsigned  bool
	}{
		"the same files":                          {[]Files{atStart}, Situation{Confirmed: hash('a')}, ReloadUnchanged, false},
		"a move":                                  {[]Files{{hash(2), hash('a')}}, Situation{Confirmed: hash('a')}, ReloadUnchanged, false},
		"a change":                                {[]Files{{hash(1), hash('b')}}, Situation{Confirmed: hash('a')}, ReloadApply, false},
		"a change with a move":                    {[]Files{{hash(2), hash('b')}}, Situation{Confirmed: hash('a')}, ReloadApply, false},
		"a change that is on probation":           {[]Files{{hash(1), hash('b')}, {hash(1), hash('b')}}, Situation{hash('a'), true, hash('b')}, ReloadOnProbation, false},
		"a move during its probation":             {[]Files{{hash(1), hash('b')}, {hash(2), hash('b')}}, Situation{hash('a'), true, hash('b')}, ReloadOnProbation, false},
		"a move after its undo":                   {[]Files{{hash(1), hash('b')}, {hash(2), hash('b')}}, Situation{Confirmed: hash('a')}, ReloadPlatformOnly, false},
		"the operators' signal after its undo":    {[]Files{{hash(1), hash('b')}, {hash(1), hash('b')}}, Situation{Confirmed: hash('a')}, ReloadApply, false},
		"a move after a change that was staged":   {[]Files{{hash(2), hash('a')}}, Situation{Confirmed: hash('c')}, ReloadPlatformOnly, false},
		"the operators' signal after such change": {[]Files{atStart}, Situation{Confirmed: hash('c')}, ReloadApply, false},
		"a change during another":                 {[]Files{{hash(1), hash('b')}}, Situation{hash('a'), true, hash('c')}, ReloadWait, false},
		"an unsigned change":                      {[]Files{{hash(1), hash('b')}}, Situation{Confirmed: hash('a')}, ReloadUnsigned, true},
		"an unsigned move":                        {[]Files{{hash(2), hash('a')}}, Situation{Confirmed: hash('a')}, ReloadUnchanged, true},
		"the confirmed files while that waits":    {[]Files{{hash(1), hash('b')}, atStart}, Situation{hash('a'), true, hash('c')}, ReloadUnchanged, false},
		"a move during the probation of another":  {[]Files{{hash(2), hash('a')}}, Situation{hash('a'), true, hash('c')}, ReloadUnchanged, false},
	} {
		r := NewReloads(atStart)
		var have ReloadDecision
		for _, f := range c.read {
			have = r.Read(f, !c.unsigned, c.situation)
		}
		if have != c.want {
			t.Errorf("%s: decided %d, want %d", name, have, c.want)
		}
		if r.Waits() != (c.want == ReloadWait) {
			t.Errorf("%s: waits %t", name, r.Waits())
		}
	}
}

// Guards against a signed change that waits and is lost to a move of discovery, whose file nobody has signed.
func TestMoveLeavesFilesThatWait(t *testing.T) {
	r := NewReloads(Files{Hash{1}, Hash{'a'}})
	s := Situation{Hash{'a'}, true, Hash{'c'}}
	if d := r.Read(Files{Hash{1}, Hash{'b'}}, true, s); d != ReloadWait {
		t.Fatalf("decided %d", d)
	}
	for _, f := range []Files{{Hash{2}, Hash{'b'}}, {Hash{2}, Hash{'d'}}} { // a move, and another text
		if d := r.Read(f, false, s); d == ReloadWait || !r.Waits() {
			t.Errorf("%v: decided %d, waits %t", f, d, r.Waits())
		}
	}
}
