package memory

import (
	"testing"
	"time"
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

// What a process takes beside the Go heap leaves the heap less than three quarters of a small memory limit, and nothing is
// given twice.
func TestDivideLeavesRoomForThePagesOfFiles(t *testing.T) {
	for _, limitMB := range []int64{32, 48, 64, 192, 2048} {
		const filePages = 15 << 20
		l := Divide(limitMB<<20, filePages)
		if l.Runtime+filePages+filePagesGrowth+otherAnonymous > limitMB<<20 || int64(l.Clients)*2 > l.Runtime || l.Clients < leastClients {
			t.Errorf("%d MB: %+v", limitMB, l)
		}
	}
	if l := Divide(16<<20, 15<<20); l.Runtime != leastRuntime || l.Clients < leastClients {
		t.Errorf("less than the pages of files: %+v", l)
	}
	if pages := FilePages(); pages < 1<<20 {
		t.Errorf("%d bytes of files in memory", pages)
	}
}

func TestEndOfBurstIsReportedOnce(t *testing.T) {
	b, now := Burst{Least: 100}, time.Unix(0, 0)
	for i, c := range []struct {
		value int64
		want  bool
	}{
		{99, false}, {0, false}, {0, false}, {0, false}, // no burst
		{800, false}, {101, false}, {100, false}, {50, false}, {100, true}, {0, false}, {0, false}, {0, false},
		{200, false}, {0, false}, {200, false}, {0, false}, {0, false}, {0, true},
	} {
		now = now.Add(calmTime / 2)
		if got := b.Over(now, c.value); got != c.want {
			t.Errorf("sample %d (%d): have %v, want %v", i, c.value, got, c.want)
		}
	}
}
