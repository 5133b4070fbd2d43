package seal

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/configuration/signature"
)

var testTime = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// readKeys returns the keys of a key file: "old" is valid until noon, "new" from then on.
func readKeys(t testing.TB, secret string) *signature.Keys {
	key := func(name, from, until, secret string) string {
		return fmt.Sprintf(`<key name=%q algorithm="blake3" value=%q from=%q until=%q/>`, name,
			base64.StdEncoding.EncodeToString([]byte(strings.Repeat(secret, 32))), from, until)
	}
	keys, err := signature.Read("keys.xml", strings.NewReader(`<keys xmlns="`+signature.Namespace+`">`+
		key("old", "2026-12-01T00:00:00Z", "2026-12-02T12:00:00Z", secret)+key("new", "2026-12-02T12:00:00Z", "2026-12-04T00:00:00Z", "n")+`</keys>`))
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func sealer(t testing.TB, secret, key, fleet string, process uint64) *Sealer {
	s, err := New(readKeys(t, secret), key, fleet, process)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Open rejects envelopes that strangers, other fleets or expired keys have sealed, and those that were changed.
func TestOpenAcceptsOnlyEnvelopesOfTheFleet(t *testing.T) {
	const noon = 12 * time.Hour
	sealNow := func(s *Sealer) []byte {
		b, err := s.Seal(testTime, []byte("news"))
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for name, c := range map[string]struct {
		make func() []byte
		at   time.Duration
		want error
	}{
		"a member's":               {func() []byte { return sealNow(sealer(t, "o", "old", "f", 7)) }, 0, nil},
		"a stranger's":             {func() []byte { return sealNow(sealer(t, "x", "old", "f", 7)) }, 0, ErrUnauthenticated},
		"another fleet's":          {func() []byte { return sealNow(sealer(t, "o", "old", "g", 7)) }, 0, ErrWrongFleet},
		"one under an expired key": {func() []byte { return sealNow(sealer(t, "o", "old", "f", 7)) }, noon, signature.ErrNotValidNow},
		"noise":                    {func() []byte { return []byte("noise") }, 0, ErrMalformed},
		"nothing":                  {func() []byte { return nil }, 0, ErrMalformed},
		"a changed message": {func() []byte {
			b := sealNow(sealer(t, "o", "old", "f", 7))
			return []byte(strings.Replace(string(b), "news", "lies", 1))
		}, 0, ErrUnauthenticated},
		"another key's name": {func() []byte {
			b := sealNow(sealer(t, "o", "old", "f", 7))
			return []byte(strings.Replace(string(b), "old", "odd", 1))
		}, 0, signature.ErrUnknownKey},
	} {
		s := sealer(t, "o", "old", "f", 9)
		got, err := s.Open(testTime.Add(c.at), c.make())
		if c.want == nil && (err != nil || string(got) != "news") || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: have %q, %v, want %v", name, got, err, c.want)
		}
	}
	if _, err := sealer(t, "o", "old", "f", 9).Seal(testTime.Add(noon), nil); !errors.Is(err, signature.ErrNotValidNow) {
		t.Errorf("sealing with an expired key: %v", err)
	}
	if b := sealNow(sealer(t, "o", "old", strings.Repeat("f", 128), 7)); len(b) > Overhead+4 {
		t.Errorf("overhead of %d bytes, want at most %d", len(b)-4, Overhead)
	}
}

// Envelopes may arrive out of order, get lost and be replayed: each is opened once. Those before the replay window are not
// opened at all.
func TestEachEnvelopeIsOpenedOnce(t *testing.T) {
	sender, receiver := sealer(t, "o", "old", "f", 7), sealer(t, "o", "old", "f", 9)
	var envelopes [][]byte
	for range 2*replayWindow + 10 {
		e, err := sender.Seal(testTime, nil)
		if err != nil {
			t.Fatal(err)
		}
		envelopes = append(envelopes, e)
	}
	rapid.Check(t, func(t *rapid.T) {
		receiver.replayStates = make(map[uint64]*replayState)
		opened, highest := make(map[int]bool), 0
		for range rapid.IntRange(1, 40).Draw(t, "envelopes") {
			i := rapid.IntRange(0, len(envelopes)-1).Draw(t, "which")
			_, err := receiver.Open(testTime, envelopes[i])
			if highest = max(highest, i); err == nil && opened[i] || err != nil && !opened[i] && highest-i < replayWindow {
				t.Fatalf("envelope %d of %d: opened before %t, now %v", i, highest, opened[i], err)
			}
			opened[i] = opened[i] || err == nil
		}
	})
	for p := range uint64(maxProcesses + 10) {
		receiver.acceptSequence(p+100, 1)
	}
	if len(receiver.replayStates) != maxProcesses || receiver.Counts().Forgotten == 0 {
		t.Errorf("%d processes are kept, %d evicted", len(receiver.replayStates), receiver.Counts().Forgotten)
	}
}

func FuzzOpen(f *testing.F) {
	s := sealer(f, "o", "old", "f", 7)
	e, _ := s.Seal(testTime, []byte("news"))
	f.Add(e)
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, err := sealer(t, "o", "old", "f", 9).Open(testTime, b); err == nil && string(got) != "news" {
			t.Errorf("opened %q", got)
		}
	})
}

func BenchmarkSealAndOpen(b *testing.B) {
	sender, receiver := sealer(b, "o", "old", "f", 7), sealer(b, "o", "old", "f", 9)
	data := make([]byte, 400)
	b.ReportAllocs()
	for range b.N {
		e, err := sender.Seal(testTime, data)
		if err == nil {
			_, err = receiver.Open(testTime, e)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}
