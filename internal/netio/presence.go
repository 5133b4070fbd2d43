package netio

import (
	"time"

	"golang.org/x/sys/unix"

	"eiderwinch/internal/limit"
)

// presenceInterval is how often the connections are checked that are not read: the poller does not report their end.
// An attempt may begin up to 100 ms after its client has left.
const presenceInterval = 40 * time.Millisecond

// checkPresence closes the connections whose reading is paused and whose clients have left.
func (n *Node) checkPresence() {
	var unread []*clientConn
	var polled []unix.PollFd
	for _, stage := range limit.Stages() {
		n.clientTable.Each(stage, func(c *clientConn) {
			if c.conn.ReadingPaused() {
				unread = append(unread, c)
				polled = append(polled, unix.PollFd{Fd: int32(c.conn.FD()), Events: unix.POLLRDHUP})
			}
		})
	}
	if len(polled) == 0 || !poll(polled) {
		return
	}
	for i, c := range unread {
		if polled[i].Revents&closedEvents != 0 {
			n.stats.LeftUnread++
			c.closeNow(leftByClient)
		}
	}
}
