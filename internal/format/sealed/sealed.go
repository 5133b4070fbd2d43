// Package sealed puts a checksum behind a value that is kept under a key: CRC-32C
// (RFC 3720, appendix B.4) over key and value, 4 bytes, most significant first.
// Stores check their own pages, not what lies in them or under which key.
package sealed

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// ErrDamaged is why a value can't be used.
var ErrDamaged = errors.New("the store is damaged")

const size = 4

func sum(key, value []byte) uint32 {
	table := crc32.MakeTable(crc32.Castagnoli) // made once by the package
	return crc32.Update(crc32.Checksum(key, table), table, value)
}

// Seal returns a value with its checksum behind it.
func Seal(key, value []byte) []byte {
	return binary.BigEndian.AppendUint32(bytes.Clone(value), sum(key, value))
}

// Open checks a value and returns a copy of it without its checksum.
func Open(key, value []byte) ([]byte, error) {
	n := len(value) - size
	if n < 0 || binary.BigEndian.Uint32(value[n:]) != sum(key, value[:n]) {
		return nil, fmt.Errorf("%w: the checksum of %q does not fit", ErrDamaged, key)
	}
	return bytes.Clone(value[:n]), nil
}
