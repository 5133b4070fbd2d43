package memory

import "math/bits"

// Sizes of buffers, in bytes. Buffers up to largestPower have powers of two as their sizes, longer ones multiples of
// pageSize: the Go runtime allocates exactly these sizes, without a rest.
const (
	smallestBuffer = 64
	largestPower   = 16 << 10
	pageSize       = 8 << 10
)

// BufferSize returns the size of the buffer to allocate for a number of bytes; 0 for none. What is allocated with it
// takes just as many bytes.
func BufferSize(bytes int) int {
	switch {
	case bytes <= 0:
		return 0
	case bytes <= smallestBuffer:
		return smallestBuffer
	case bytes <= largestPower:
		return 1 << bits.Len(uint(bytes-1))
	}
	return (bytes + pageSize - 1) / pageSize * pageSize
}

// Grow returns a buffer with the content of b and room for more bytes behind it. It returns b if that has the room.
func Grow(b []byte, more int) []byte {
	if cap(b)-len(b) >= more {
		return b
	}
	grown := make([]byte, len(b), BufferSize(len(b)+more))
	copy(grown, b)
	return grown
}
