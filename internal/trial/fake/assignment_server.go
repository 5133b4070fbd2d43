package fake

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"eiderwinch/internal/layout"
)

// AssignmentServer is the endpoint of a fake searcher through which a coordinator assigns
// segments to it. It handles PUT /v1/custody on a Unix socket: the request is an order, the
// response is a report. It fills and drops the searcher's segments in a ShardedCatalogue. It
// is written from docs/operate-layout.md and shares no code with the coordinator.
//
// The last order is kept when the server is closed and opened again, as it would be on a
// searcher's disk.
type AssignmentServer struct {
	searcher  string
	catalogue *ShardedCatalogue
	path      string

	mu          sync.Mutex
	server      *http.Server
	done        chan struct{} // closed when the HTTP server and the copy loop have ended
	stop        context.CancelFunc
	lastOrder   order
	copied      map[fillID]bool // for each fill of the last order: whether all rows have been copied
	staleOrders int             // number of orders that were ignored, see StaleOrders
}

// fillID identifies a fill: the copying of rows into a segment for a job.
type fillID struct {
	Job     uint64
	Segment layout.SegmentID
}

// order is a request of the coordinator: the segments to drop and to fill.
type order struct {
	Log           string             `json:"log"`
	Term          uint64             `json:"term"`
	Number        uint64             `json:"number"`
	RowsPerSecond float64            `json:"rows_per_second"`
	Drops         []layout.SegmentID `json:"drops"`
	Fills         []struct {
		Job     uint64             `json:"job"`
		Segment layout.SegmentID   `json:"segment"`
		From    layout.Key         `json:"from"`
		To      layout.Key         `json:"to"`
		Sources []layout.SegmentID `json:"sources"`
		Holders []string           `json:"holders"`
	} `json:"fills"`
}

// fillProgress is the state of one fill in a report.
type fillProgress struct {
	Job     uint64           `json:"job"`
	Segment layout.SegmentID `json:"segment"`
	Copied  bool             `json:"copied"`
	Behind  int64            `json:"behind_ms"`
}

// report is the response to an order.
type report struct {
	Log    string             `json:"log"`
	Term   uint64             `json:"term"`
	Number uint64             `json:"number"`
	Held   []layout.SegmentID `json:"held"`
	Fills  []fillProgress     `json:"fills"`
}

// copyInterval is the time between two batches of copied rows.
const copyInterval = 20 * time.Millisecond

// NewAssignmentServer returns the assignment endpoint of a searcher, for a Unix socket at
// path. It does not listen until Open is called.
func NewAssignmentServer(searcher string, catalogue *ShardedCatalogue, path string) *AssignmentServer {
	return &AssignmentServer{searcher: searcher, catalogue: catalogue, path: path, copied: make(map[fillID]bool)}
}

// Endpoint returns the address that a listens on.
func (a *AssignmentServer) Endpoint() string { return "unix:" + a.path }

// Open starts listening for orders and copying rows.
func (a *AssignmentServer) Open() error {
	if err := os.Remove(a.path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	l, err := net.Listen("unix", a.path)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/custody", a.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	done := make(chan struct{})
	a.mu.Lock()
	a.server, a.stop, a.done = server, stop, done
	a.mu.Unlock()
	go func() {
		defer close(done)
		copyLoopDone := make(chan struct{})
		go func() { defer close(copyLoopDone); a.copyLoop(ctx) }()
		_ = server.Serve(l) // returns after Close
		<-copyLoopDone
	}()
	return nil
}

// Close stops listening and copying, as if the process had crashed.
func (a *AssignmentServer) Close() error {
	a.mu.Lock()
	server, stop, done := a.server, a.stop, a.done
	a.server = nil
	a.mu.Unlock()
	if server == nil {
		return nil
	}
	stop()
	err := server.Close()
	<-done
	return err
}

// StaleOrders returns the number of orders that were ignored because they were not newer than
// the last one, or belonged to another log.
func (a *AssignmentServer) StaleOrders() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.staleOrders
}

func (a *AssignmentServer) serve(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(a.apply(o)) // an error means that the client has disconnected
}

// apply carries out an order, unless it is not newer than the last one or belongs to
// another log.
func (a *AssignmentServer) apply(o order) report {
	a.mu.Lock()
	defer a.mu.Unlock()
	sameLog := a.lastOrder.Log == "" || o.Log == a.lastOrder.Log
	if sameLog && (o.Term > a.lastOrder.Term || o.Term == a.lastOrder.Term && o.Number > a.lastOrder.Number) {
		for _, id := range o.Drops {
			a.catalogue.Drop(a.searcher, id)
		}
		wanted := make(map[fillID]bool)
		for _, f := range o.Fills {
			wanted[fillID{f.Job, f.Segment}] = a.copied[fillID{f.Job, f.Segment}]
		}
		for f := range a.copied {
			if _, ok := wanted[f]; !ok {
				a.catalogue.StopFollowing(a.searcher, f.Segment, f.Job)
			}
		}
		a.copied, a.lastOrder = wanted, o
	} else {
		a.staleOrders++
	}
	r := report{Log: a.lastOrder.Log, Term: a.lastOrder.Term, Number: a.lastOrder.Number, Held: a.catalogue.Held(a.searcher)}
	for _, f := range a.lastOrder.Fills {
		r.Fills = append(r.Fills, fillProgress{Job: f.Job, Segment: f.Segment, Copied: a.copied[fillID{f.Job, f.Segment}]})
	}
	return r
}

// copyLoop copyLoopDone rows for the fills of the last order until ctx ends.
func (a *AssignmentServer) copyLoop(ctx context.Context) {
	t := time.NewTicker(copyInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		a.mu.Lock()
		for _, f := range a.lastOrder.Fills {
			id := fillID{f.Job, f.Segment}
			if a.copied[id] {
				continue
			}
			maxRows := max(int(a.lastOrder.RowsPerSecond*copyInterval.Seconds()), 1)
			done, _ := a.catalogue.Fill(a.searcher, f.Segment, f.Job, Range{From: f.From, To: f.To}, f.Sources, f.Holders, maxRows)
			a.copied[id] = done
		}
		a.mu.Unlock()
	}
}
