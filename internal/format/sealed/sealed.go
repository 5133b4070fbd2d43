// Package sealed appends a checksum to a value that is stored under a key: CRC-32C
// (RFC 3720, appendix B.4) of key and value, 4 bytes, most significant first.
// It is needed because stores check only their own pages, not the values in them or the
// keys of the values.
package sealed

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// ErrDamaged means that a stored value cannot be used.
var ErrDamaged = errors.New("the store is damaged")

// checksumSize is the size of a checksum in bytes.
const checksumSize = 4

// checksum returns the CRC-32C of a key and a value.
func checksum(key, value []byte) uint32 {
	table := crc32.MakeTable(crc32.Castagnoli) // the package builds the table only once
	return crc32.Update(crc32.Checksum(key, table), table, value)
}

// Seal returns a copy of a value with its checksum appended.
func Seal(key, value []byte) []byte {
	return binary.BigEndian.AppendUint32(bytes.Clone(value), checksum(key, value))
}

// Open verifies the checksum of a value and returns a copy of the value without it.
func Open(key, value []byte) ([]byte, error) {
	n := len(value) - checksumSize
	if n < 0 || binary.BigEndian.Uint32(value[n:]) != checksum(key, value[:n]) {
		return nil, fmt.Errorf("%w: checksum of %q does not match", ErrDamaged, key)
	}
	return bytes.Clone(value[:n]), nil
}
