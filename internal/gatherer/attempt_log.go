package gatherer

import (
	"context"
	"log/slog"
)

// attemptChange is a change of an attempt's state, as the log names it.
type attemptChange string

// The changes. The log lines of package netio tell when an attempt was written and when its connection was closed.
const (
	attemptDecided  attemptChange = "decided"
	attemptEnded    attemptChange = "ended"
	answeredLate    attemptChange = "answered late" // after it had ended
	answerConfirmed attemptChange = "answer confirmed"
	answerInDoubt   attemptChange = "answer in doubt"
)

// logAttempt logs a change of an attempt's state at debug level, with further keys and values.
func (c *Core) logAttempt(a *Attempt, change attemptChange, details ...any) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	pairs := []any{"part", a.PartID(), "attempt", a.number, "searcher", a.Searcher, "change", string(change)}
	c.log.Debug("attempt", append(pairs, details...)...)
}
