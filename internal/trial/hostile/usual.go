package hostile

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// UsualClients are clients that behave well: each sends one query after the other on a connection that it keeps.
type UsualClients struct {
	Addr     string
	Clients  int
	Segments int
	Pause    time.Duration // between two queries of a client
	Name     string        // prefix of the ids

	// UntilRefused makes a client end when it can open no connection, as beside a gatherer that is told to end. A query
	// that was not read before its connection was closed is not counted then.
	UntilRefused bool
}

// UsualReport is what usual clients have seen.
type UsualReport struct {
	Asked, Served, Refused, Failed int
	Late                           int // answers after the client's time, or none at all
	latencies                      []time.Duration
}

// lateTolerance is how long after its time an answer may still come: it takes a while to arrive and to be read.
const lateTolerance = 50 * time.Millisecond

// unansweredAfter is how long after its time a client gives a query up.
const unansweredAfter = 2 * time.Second

// Percentile returns the latency that a share of the answers did not exceed.
func (r *UsualReport) Percentile(share float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[min(int(share*float64(len(r.latencies))), len(r.latencies)-1)].Round(time.Millisecond)
}

// String returns the report as one line.
func (r *UsualReport) String() string {
	return fmt.Sprintf("asked %d, served %d, refused %d, failed %d, late or unanswered %d, p50 %v, p99 %v",
		r.Asked, r.Served, r.Refused, r.Failed, r.Late, r.Percentile(0.5), r.Percentile(0.99))
}

// Run runs the clients until ctx ends.
func (u UsualClients) Run(ctx context.Context) *UsualReport {
	report, all := &UsualReport{}, sync.WaitGroup{}
	var mu sync.Mutex
	for i := range u.Clients {
		all.Add(1)
		go func() {
			defer all.Done()
			u.runClient(ctx, i, func(status int, took time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				report.record(status, took)
			})
		}()
	}
	all.Wait()
	return report
}

// record counts one query; status is 0 if it got no answer.
func (r *UsualReport) record(status int, took time.Duration) {
	r.Asked++
	r.latencies = append(r.latencies, took)
	if status == 0 || took > UsualWait+lateTolerance {
		r.Late++
	}
	switch status {
	case http.StatusOK:
		r.Served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.Refused++
	default:
		r.Failed++
	}
}

// runClient sends the queries of one client.
func (u UsualClients) runClient(ctx context.Context, number int, record func(int, time.Duration)) {
	var c *usualConn
	defer func() { c.close() }()
	for i := 0; sleep(ctx, u.Pause); i++ {
		body := queryBody((number+i)%u.Segments, 4, u.Segments, 0)
		text := request("search", fmt.Sprintf("%s-%d-%d", u.Name, number, i), "", body)
		sent := time.Now()
		status, unread := 0, true
		for range 2 { // a query that crosses the close of a kept connection is sent once more
			fresh := c == nil
			if fresh {
				c = dialUsual(u.Addr)
			}
			if c == nil && u.UntilRefused {
				return
			}
			var err error
			var keep bool
			if status, keep, err = c.ask(text); !keep {
				unread = status == 0 && (c == nil || WasUnread(c.Conn, err))
				c.close()
				c = nil
			}
			if status != 0 || fresh || !unread {
				break
			}
		}
		if status == 0 && unread && u.UntilRefused {
			continue
		}
		record(status, time.Since(sent))
	}
}

// usualConn is a connection of a usual client.
type usualConn struct {
	net.Conn
	in *bufio.Reader
}

// dialUsual connects to a gatherer, and returns nil if that fails.
func dialUsual(addr string) *usualConn {
	conn, err := net.DialTimeout("tcp", addr, UsualWait)
	if err != nil {
		return nil
	}
	return &usualConn{conn, bufio.NewReader(conn)}
}

func (c *usualConn) close() {
	if c != nil {
		_ = c.Conn.Close()
	}
}

// errNotConnected is returned by ask if there is no connection.
var errNotConnected = errors.New("not connected")

// ask sends a query and returns the status of its answer, 0 if none came, and whether the connection can be kept.
func (c *usualConn) ask(text string) (status int, keep bool, err error) {
	if c == nil {
		return 0, false, errNotConnected
	}
	_ = c.SetDeadline(time.Now().Add(UsualWait + unansweredAfter))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, false, err
	}
	return response.StatusCode, !response.Close, nil
}
