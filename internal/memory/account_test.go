package memory

import (
	"testing"
	"unsafe"
)

// What is allocated with BufferSize takes just as many bytes.
func TestBufferSizeIsWhatTheRuntimeAllocates(t *testing.T) {
	for n := 1; n <= 100_000; n += 1 + n/50 {
		size := BufferSize(n)
		if got := cap(append([]byte(nil), make([]byte, size)...)); got != size || size < n {
			t.Errorf("%d bytes: size %d, allocated %d", n, size, got)
		}
	}
	grown := Grow([]byte("ab"), 100)
	if string(grown) != "ab" || cap(grown) != 128 || unsafe.SliceData(Grow(grown, 126)) != unsafe.SliceData(grown) {
		t.Errorf("grown to %q with capacity %d", grown, cap(grown))
	}
}
