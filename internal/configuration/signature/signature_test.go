package signature

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

func keyFile(keys ...string) string {
	return `<keys xmlns="urn:eiderwinch:keys:1">` + strings.Join(keys, "\n") + `</keys>`
}

func keyElement(name, algorithm string, value []byte, from, until string) string {
	return fmt.Sprintf(`<key name=%q algorithm=%q value=%q from="2026-%sT00:00:00Z" until="2026-%sT00:00:00Z"/>`,
		name, algorithm, base64.StdEncoding.EncodeToString(value), from, until)
}

func mustRead(t *testing.T, text string) *Keys {
	t.Helper()
	k, err := Read("k.xml", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestSignaturesAreValidWhileTheirKeyIs(t *testing.T) {
	private := ed25519.NewKeyFromSeed(make([]byte, 32))
	secret := []byte(strings.Repeat("s", 32))
	signer := mustRead(t, keyFile(keyElement("old", "blake3", secret, "01-01", "07-01"), keyElement("new", "ed25519", private, "06-01", "12-01")))
	verifier := mustRead(t, keyFile(keyElement("old", "blake3", secret, "01-01", "07-01"), keyElement("new", "ed25519", private.Public().(ed25519.PublicKey), "06-01", "12-01")))
	june := time.Date(2026, 6, 15, 0, 0, 0, 0, time.UTC) // both keys are valid
	message := []byte("configuration")
	for _, name := range []string{"old", "new"} {
		s, err := signer.Sign(june, name, message)
		if err != nil {
			t.Fatal(err)
		}
		if err := verifier.Verify(june, message, s+"\n"); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if err := verifier.Verify(june, []byte("another"), s); !errors.Is(err, ErrMismatch) {
			t.Errorf("%s for another message: %v", name, err)
		}
		if err := verifier.Verify(june.AddDate(1, 0, 0), message, s); !errors.Is(err, ErrNotValidNow) {
			t.Errorf("%s a year later: %v", name, err)
		}
		if err := verifier.Verify(june, message, strings.Replace(s, name, "other", 1)); !errors.Is(err, ErrUnknownKey) {
			t.Errorf("by an unknown key: %v", err)
		}
	}
	swapped, _ := signer.Sign(june, "old", message)
	if err := verifier.Verify(june, message, strings.Replace(swapped, "old", "new", 1)); !errors.Is(err, ErrMismatch) {
		t.Errorf("a signature by one key under the name of another: %v", err)
	}
	if _, err := verifier.Sign(june, "new", message); !errors.Is(err, ErrPublicKey) {
		t.Errorf("a public key signs: %v", err)
	}
	if _, err := signer.Sign(june.AddDate(0, 2, 0), "old", message); !errors.Is(err, ErrNotValidNow) {
		t.Errorf("an expired key signs: %v", err)
	}
	for s, want := range map[string]error{"": ErrMissing, "old": ErrMalformed, "old:?": ErrMalformed, "old:": ErrMismatch} {
		if err := verifier.Verify(june, message, s); !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", s, err, want)
		}
	}
}

// Guards against error messages that leak a key's value.
func TestFaultsOfKeyFilesShowNoKey(t *testing.T) {
	value := []byte(strings.Repeat("k", 32))
	_, err := Read("k.xml", strings.NewReader(keyFile(
		keyElement("a", "blake3", value[:31], "01-01", "02-01"), keyElement("a", "ed25519", value, "03-01", "02-01"),
		`<key name="c" algorithm="rsa" value="x" from="x" until="y"/>`, `<key name="d" algorithm="blake3" value="?" from="x" until="y"/>`)))
	for _, want := range []string{"k.xml:1: <key>: found a value of 31 bytes", "k.xml:2: <key>: found name \"a\" twice", "until no later than from",
		`k.xml:3: <key>: found algorithm="rsa", want ed25519 or blake3`, "k.xml:4: <key>: found a value that is not base64", `found from="x", want a time`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s is missing in %v", want, err)
		}
	}
	if err != nil && strings.Contains(err.Error(), base64.StdEncoding.EncodeToString(value)) {
		t.Errorf("a key is shown: %v", err)
	}
}
