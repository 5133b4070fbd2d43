package fake

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// TroubleKind is what a searcher does behind an answer, or in place of one. After each kind but NoTrouble the connection is
// of no further use: nothing more is answered on it.
type TroubleKind int

// The kinds of trouble. Those whose answer is good write it whole first.
const (
	NoTrouble    TroubleKind = iota
	GoodThenRst              // a good answer; the connection is reset after Trouble.Delay
	GoodThenEnd              // a good answer; the connection is closed after Trouble.Delay
	GoodThenData             // a good answer; data that is no frame follows after Trouble.Delay
	ShortLength              // the length of the frame is too short for the value; the rest follows after Trouble.Delay
	ShortThenEnd             // the length is too short; the connection is closed after Trouble.Delay, without the rest
	LongLength               // the length of the frame is longer than what is written
	DataInstead              // data that is no frame, in place of an answer
	NoAnswer                 // nothing, and the connection stays open
)

// Trouble is one trouble of a connection.
type Trouble struct {
	Kind  TroubleKind
	Delay time.Duration
}

// TroublePlan draws the troubles of a run from its seed. It is safe for concurrent use.
type TroublePlan struct {
	rate     float64 // share of the answers that come with trouble
	maxDelay time.Duration

	mu     sync.Mutex
	random *rand.Rand
	drawn  int
}

// NewTroublePlan returns a plan in which a share of the answers comes with trouble, up to maxDelay later.
func NewTroublePlan(seed uint64, rate float64, maxDelay time.Duration) *TroublePlan {
	return &TroublePlan{rate: rate, maxDelay: maxDelay, random: rand.New(rand.NewPCG(seed, 3))}
}

// Draw returns the trouble that comes with an answer. A length that is too short can be told from a good answer with surplus data only
// while other parts wait, so it is drawn only then.
func (t *TroublePlan) Draw(_ Part, waiting int) Trouble {
	t.mu.Lock()
	defer t.mu.Unlock()
	kinds := []TroubleKind{GoodThenRst, GoodThenEnd, GoodThenData, LongLength, DataInstead, NoAnswer}
	if waiting > 0 {
		kinds = append(kinds, ShortLength, ShortThenEnd)
	}
	if t.random.Float64() >= t.rate {
		return Trouble{}
	}
	t.drawn++
	return Trouble{Kind: kinds[t.random.IntN(len(kinds))], Delay: time.Duration(t.random.Int64N(int64(t.maxDelay)))}
}

// Drawn returns how many troubles were drawn.
func (t *TroublePlan) Drawn() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drawn
}

// noise is data that is no frame.
const noise = "\xff\xfe no frame"

// shortBy is by how many bytes the length of a frame is too short, and longBy by how many it is too long.
const (
	shortBy = 6
	longBy  = 40
)

// ValueOf returns the value that an IdentityHandler gives to a part: it differs from part to part.
func ValueOf(part string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(part))
	return fmt.Sprintf("%016x", h.Sum64())
}

// IdentityHandler is a Handler whose values tell which part they were made for, so that a client can check each of them.
type IdentityHandler struct {
	// Duration returns how long a part takes.
	Duration func(Part) time.Duration
}

// Handle implements Handler.
func (h IdentityHandler) Handle(_ string, p Part) (Answer, time.Duration) {
	return Answer{Outcome: Served, Score: int64(p.Shard), Value: ValueOf(p.ID)}, h.Duration(p)
}

// drawTrouble returns the trouble that comes with an answer of the searcher. The connection has trouble once at most.
func (s *Searcher) drawTrouble(g *gathererConn, p Part, a Answer) Trouble {
	if s.opts.Trouble == nil || a.Outcome != Served {
		return Trouble{}
	}
	return s.opts.Trouble(p, int(g.waiting.Load()))
}

// writeTroubled writes an answer with a trouble. It reports whether the answer was written whole and good.
func (g *gathererConn) writeTroubled(body string, t Trouble) (good bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unusable {
		return false
	}
	g.unusable = t.Kind != NoTrouble
	switch t.Kind {
	case NoAnswer:
		return false
	case DataInstead:
		_, _ = g.conn.Write([]byte(noise))
		return false
	case LongLength:
		_, _ = g.conn.Write(frameOfLength(body, len(body)+longBy))
		return false
	case ShortLength, ShortThenEnd:
		written := frameOfLength(body, len(body)-shortBy)
		first := written[:len(written)-shortBy]
		_, _ = g.conn.Write(first)
		time.AfterFunc(t.Delay, func() { g.finishShort(t.Kind, written[len(first):]) })
		return false
	}
	_, err := g.conn.Write(frameOfLength(body, len(body)))
	if t.Kind != NoTrouble {
		time.AfterFunc(t.Delay, func() { g.strike(t.Kind) })
	}
	return err == nil
}

// finishShort continues an answer whose length is too short.
func (g *gathererConn) finishShort(kind TroubleKind, rest []byte) {
	if kind == ShortThenEnd {
		_ = g.conn.Close()
		return
	}
	_, _ = g.conn.Write(rest)
}

// strike is the trouble behind a good answer.
func (g *gathererConn) strike(kind TroubleKind) {
	switch kind {
	case GoodThenRst:
		if c, ok := g.conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
		_ = g.conn.Close()
	case GoodThenEnd:
		_ = g.conn.Close()
	case GoodThenData:
		_, _ = g.conn.Write([]byte(noise))
	}
}

// frameOfLength returns a frame with the given body whose length field has the given value.
func frameOfLength(body string, length int) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(length)), body...)
}
