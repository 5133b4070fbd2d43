// Package signature signs configurations and verifies that they come from somebody who
// may change them. Keys are in a file of their own, each with a period of validity, so that
// a new key can be valid together with the old one until everybody uses the new one.
//
// There are two algorithms: Ed25519 (RFC 8032), where gatherers have public keys only,
// and BLAKE3 in its keyed mode (BLAKE3 paper, 2.3), where signer and gatherer share a
// secret. The package has no I/O and no clock.
package signature

import (
	"crypto/ed25519"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/zeebo/blake3"

	"eiderwinch/internal/format/xmlform"
)

// Namespace is the XML namespace of key files.
const Namespace = "urn:eiderwinch:keys:1"

// maxKeys is the most keys of a file: previous ones, the current one and future ones.
const maxKeys = 8

// configurationContext precedes each signed message, so that a signature is not valid for
// anything but a configuration.
const configurationContext = "eiderwinch configuration 1\n"

// Form returns the form of key files, from which deploy/keys.xsd is generated.
func Form() *xmlform.Form {
	return &xmlform.Form{
		Namespace: Namespace, Root: "keys", Depth: 2,
		Doc:   "Keys that sign configurations of eiderwinch. See docs/operate-config.md.",
		Order: []string{"keys", "key"},
		Elements: map[string]xmlform.Element{
			"keys": {Doc: "all keys of the file", Children: []xmlform.Child{{Name: "key", Min: 1, Max: maxKeys}}},
			"key": {Doc: "one key; several may be valid at the same time, so that a key can be replaced without an interruption", Attributes: []xmlform.Attribute{
				{Name: "name", Kind: xmlform.Name, Required: true, Doc: "name of the key, which its signatures contain"},
				{Name: "algorithm", Kind: xmlform.Choice, Values: []string{"ed25519", "blake3"}, Required: true, Doc: "ed25519: the public key, or for signing the private key; blake3: a shared secret"},
				{Name: "value", Kind: xmlform.Name, Required: true, Doc: "the key in base64: 32 bytes, or 64 bytes for a private Ed25519 key"},
				{Name: "from", Kind: xmlform.Name, Required: true, Doc: "start of its validity (RFC 3339), for example 2026-12-01T00:00:00Z"},
				{Name: "until", Kind: xmlform.Name, Required: true, Doc: "end of its validity (RFC 3339); from this time on it is not valid"},
			}},
		},
	}
}

// Key is one key of a file.
type Key struct {
	Name        string
	From, Until time.Time
	public      ed25519.PublicKey
	private     ed25519.PrivateKey
	secret      []byte
}

// Keys holds the keys of a file.
type Keys struct{ list []Key }

// Read parses a key file. The file's name is used in messages only. The error joins all
// faults that were found, and never contains the value of a key.
func Read(file string, r io.Reader) (*Keys, error) {
	faults := &xmlform.Faults{File: file}
	root := Form().Read(r, faults)
	if root == nil {
		return nil, faults.Err()
	}
	keys, seen := &Keys{}, make(map[string]bool)
	for _, n := range root.Children {
		if !n.Valid {
			continue
		}
		k := Key{Name: n.Text("name")}
		if seen[k.Name] {
			faults.Add(n.Line, n.Name, fmt.Sprintf("name %q twice", k.Name), "each name once")
		}
		seen[k.Name] = true
		for _, field := range []struct {
			name string
			to   *time.Time
		}{{"from", &k.From}, {"until", &k.Until}} {
			var err error
			if *field.to, err = time.Parse(time.RFC3339, n.Text(field.name)); err != nil {
				faults.Add(n.Line, n.Name, fmt.Sprintf("%s=%.40q", field.name, n.Text(field.name)), "a time, such as 2026-12-01T00:00:00Z")
			}
		}
		if !k.From.Before(k.Until) {
			faults.Add(n.Line, n.Name, "until no later than from", "until later than from")
		}
		value, err := base64.StdEncoding.DecodeString(n.Text("value"))
		isBLAKE3 := n.Text("algorithm") == "blake3"
		switch {
		case err != nil:
			faults.Add(n.Line, n.Name, "a value that is not base64", "base64")
		case isBLAKE3 && len(value) == 32:
			k.secret = value
		case !isBLAKE3 && len(value) == ed25519.PublicKeySize:
			k.public = value
		case !isBLAKE3 && len(value) == ed25519.PrivateKeySize:
			k.private = value
			k.public = k.private.Public().(ed25519.PublicKey)
		default:
			faults.Add(n.Line, n.Name, fmt.Sprintf("a value of %d bytes", len(value)), "32, or 64 of a private Ed25519 key")
		}
		keys.list = append(keys.list, k)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return keys, nil
}

// The reasons for rejecting a signature, or for not signing.
var (
	ErrMissing     = errors.New("the configuration is not signed")
	ErrMalformed   = errors.New("malformed signature")
	ErrUnknownKey  = errors.New("signed with an unknown key")
	ErrNotValidNow = errors.New("the key's validity period does not include the current time")
	ErrMismatch    = errors.New("the signature does not fit the configuration")
	ErrPublicKey   = errors.New("the key can't sign: it is a public one")
)

// Sign signs a message with a key that is valid at the time now. The signature has the
// form NAME:BASE64.
func (k *Keys) Sign(now time.Time, name string, message []byte) (string, error) {
	key, err := k.find(now, name)
	if err != nil {
		return "", err
	}
	var raw []byte
	switch {
	case key.secret != nil:
		raw = key.mac(message)
	case key.private != nil:
		raw = ed25519.Sign(key.private, withContext(message))
	default:
		return "", fmt.Errorf("key %q: %w", name, ErrPublicKey)
	}
	return name + ":" + base64.StdEncoding.EncodeToString(raw), nil
}

// Verify returns nil if the signature of a message is valid at the time now, otherwise the
// reason why it is not.
func (k *Keys) Verify(now time.Time, message []byte, signature string) error {
	if signature == "" {
		return ErrMissing
	}
	name, text, ok := strings.Cut(strings.TrimSpace(signature), ":")
	raw, err := base64.StdEncoding.DecodeString(text)
	if !ok || err != nil {
		return fmt.Errorf("%w, want NAME:BASE64", ErrMalformed)
	}
	key, err := k.find(now, name)
	if err != nil {
		return err
	}
	if key.secret != nil {
		ok = subtle.ConstantTimeCompare(raw, key.mac(message)) == 1
	} else {
		ok = ed25519.Verify(key.public, withContext(message), raw)
	}
	if !ok {
		return fmt.Errorf("key %q: %w", name, ErrMismatch)
	}
	return nil
}

// ErrNoSecret is returned by MAC for a key that is not a shared secret: both sides of an
// authentication code need the same key.
var ErrNoSecret = errors.New("the key is not a shared secret, want algorithm blake3")

// MAC returns the authentication code of a message under a shared secret that is valid at
// the time now. The code is valid for one purpose only; purpose must end with a newline.
func (k *Keys) MAC(now time.Time, name, purpose string, message []byte) ([]byte, error) {
	key, err := k.find(now, name)
	if err != nil {
		return nil, err
	}
	if key.secret == nil {
		return nil, fmt.Errorf("key %q: %w", name, ErrNoSecret)
	}
	return key.macFor(purpose, message), nil
}

// find returns the key with the given name if it is valid at the time now.
func (k *Keys) find(now time.Time, name string) (*Key, error) {
	for i := range k.list {
		key := &k.list[i]
		if key.Name != name {
			continue
		}
		if now.Before(key.From) || !now.Before(key.Until) {
			return nil, fmt.Errorf("key %q: %w: it is %s, want from %s until %s", name, ErrNotValidNow, now.Format(time.RFC3339), key.From.Format(time.RFC3339), key.Until.Format(time.RFC3339))
		}
		return key, nil
	}
	return nil, fmt.Errorf("key %.40q: %w", name, ErrUnknownKey)
}

func withContext(message []byte) []byte { return append([]byte(configurationContext), message...) }

func (k *Key) mac(message []byte) []byte { return k.macFor(configurationContext, message) }

func (k *Key) macFor(purpose string, message []byte) []byte {
	h, err := blake3.NewKeyed(k.secret)
	if err != nil { // impossible: the secret has 32 bytes
		panic(err)
	}
	_, _ = h.Write([]byte(purpose)) // hash writes never fail
	_, _ = h.Write(message)
	return h.Sum(nil)
}
