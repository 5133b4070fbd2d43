package standin

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

// Custodian is the side of a searcher that a coordinator of layouts talks to:
// PUT /v1/custody with an order, answered with a report, on a Unix socket. It
// fills the searcher's shelves of a Warehouse, and clears them. It is written from
// docs/operate-layout.md and shares no code with the coordinator.
//
// What it has been told outlives Close, as it would on a searcher's disk.
type Custodian struct {
	searcher string
	store    *Warehouse
	path     string

	mu     sync.Mutex
	srv    *http.Server
	done   chan struct{} // closed once the server and the copies have ended
	stop   context.CancelFunc
	last   order
	copied map[fill]bool
	late   int // orders passed over
}

// fill is one copy, by what makes it one.
type fill struct {
	Job     uint64
	Segment layout.SegmentID
}

type order struct {
	Log    string             `json:"log"`
	Term   uint64             `json:"term"`
	Number uint64             `json:"number"`
	Rows   float64            `json:"rows_per_second"`
	Drops  []layout.SegmentID `json:"drops"`
	Fills  []struct {
		Job     uint64             `json:"job"`
		Segment layout.SegmentID   `json:"segment"`
		From    layout.Key         `json:"from"`
		To      layout.Key         `json:"to"`
		Sources []layout.SegmentID `json:"sources"`
		Holders []string           `json:"holders"`
	} `json:"fills"`
}

type progress struct {
	Job     uint64           `json:"job"`
	Segment layout.SegmentID `json:"segment"`
	Copied  bool             `json:"copied"`
	Behind  int64            `json:"behind_ms"`
}

type report struct {
	Log    string             `json:"log"`
	Term   uint64             `json:"term"`
	Number uint64             `json:"number"`
	Held   []layout.SegmentID `json:"held"`
	Fills  []progress         `json:"fills"`
}

const copyEvery = 20 * time.Millisecond

// NewCustodian returns the custodian of a searcher, which is to be opened.
func NewCustodian(searcher string, store *Warehouse, path string) *Custodian {
	return &Custodian{searcher: searcher, store: store, path: path, copied: make(map[fill]bool)}
}

// Endpoint is where it listens.
func (c *Custodian) Endpoint() string { return "unix:" + c.path }

// Open lets it take orders.
func (c *Custodian) Open() error {
	if err := os.Remove(c.path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	l, err := net.Listen("unix", c.path)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/custody", c.serve)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	done := make(chan struct{})
	c.mu.Lock()
	c.srv, c.stop, c.done = srv, stop, done
	c.mu.Unlock()
	go func() {
		defer close(done)
		copies := make(chan struct{})
		go func() { defer close(copies); c.copy(ctx) }()
		_ = srv.Serve(l) // until Close
		<-copies
	}()
	return nil
}

// Close kills it.
func (c *Custodian) Close() error {
	c.mu.Lock()
	srv, stop, done := c.srv, c.stop, c.done
	c.srv = nil
	c.mu.Unlock()
	if srv == nil {
		return nil
	}
	stop()
	err := srv.Close()
	<-done
	return err
}

// Late is how many orders were passed over, since a newer one had come.
func (c *Custodian) Late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late
}

func (c *Custodian) serve(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(c.take(o)) // where it fails, whoever asked has left
}

// take carries out an order, unless it is not newer than the last.
func (c *Custodian) take(o order) report {
	c.mu.Lock()
	defer c.mu.Unlock()
	ours := c.last.Log == "" || o.Log == c.last.Log
	if ours && (o.Term > c.last.Term || o.Term == c.last.Term && o.Number > c.last.Number) {
		for _, id := range o.Drops {
			c.store.Drop(c.searcher, id)
		}
		wanted := make(map[fill]bool)
		for _, f := range o.Fills {
			wanted[fill{f.Job, f.Segment}] = c.copied[fill{f.Job, f.Segment}]
		}
		for f := range c.copied {
			if _, ok := wanted[f]; !ok {
				c.store.Unfollow(c.searcher, f.Segment, f.Job)
			}
		}
		c.copied, c.last = wanted, o
	} else {
		c.late++
	}
	r := report{Log: c.last.Log, Term: c.last.Term, Number: c.last.Number, Held: c.store.Held(c.searcher)}
	for _, f := range c.last.Fills {
		r.Fills = append(r.Fills, progress{Job: f.Job, Segment: f.Segment, Copied: c.copied[fill{f.Job, f.Segment}]})
	}
	return r
}

// copy carries on with the fills of the last order.
func (c *Custodian) copy(ctx context.Context) {
	t := time.NewTicker(copyEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c.mu.Lock()
		for _, f := range c.last.Fills {
			id := fill{f.Job, f.Segment}
			if c.copied[id] {
				continue
			}
			most := max(int(c.last.Rows*copyEvery.Seconds()), 1)
			done, _ := c.store.Fill(c.searcher, f.Segment, f.Job, Range{From: f.From, To: f.To}, f.Sources, f.Holders, most)
			c.copied[id] = done
		}
		c.mu.Unlock()
	}
}
