package netio

import (
	"eiderwinch/internal/format/frame"
	"eiderwinch/internal/memory"
)

// retainedCall is the largest buffer for frames, in bytes, that is kept for further calls.
const retainedCall = 64 << 10

// callSize returns about how many bytes the frame of a call takes.
func callSize(parts []frame.Part) (size int) {
	for _, part := range parts {
		size += partOverhead + len(part.ID) + len(part.Text) + len(part.Options.Key)
	}
	return size
}

// appendCall returns the frame of a call, which takes about size bytes. It is valid until the next call of appendCall.
func (p *pool) appendCall(parts []frame.Part, size int) []byte {
	if size > cap(p.callBuffer) {
		p.callBuffer = make([]byte, 0, memory.BufferSize(size))
	}
	frameBytes := frame.AppendCall(p.callBuffer[:0], parts)
	if cap(p.callBuffer) > retainedCall {
		p.callBuffer = nil
	}
	return frameBytes
}

// partOverhead is about what a part takes in a frame beside its strings, in bytes.
const partOverhead = 64
