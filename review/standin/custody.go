package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"
)

// custody is what a searcher keeps for the coordinator: which segments it holds, and the last order that it has
// taken. The searcher's mutex guards it. Rows are made of a part's id and text, so a copy takes no time.
type custody struct {
	held   map[int]bool
	last   order
	server *http.Server
	addr   string
}

// order is a coordinator's order, as docs/operate-layout.md has it.
type order struct {
	Log    string `json:"log"`
	Term   uint64 `json:"term"`
	Number uint64 `json:"number"`
	Drops  []int  `json:"drops"`
	Fills  []struct {
		Job     uint64 `json:"job"`
		Segment int    `json:"segment"`
	} `json:"fills"`
}

// progress is how far a fill is.
type progress struct {
	Job      uint64 `json:"job"`
	Segment  int    `json:"segment"`
	Copied   bool   `json:"copied"`
	BehindMS int64  `json:"behind_ms"`
}

// orderAnswer is the answer to an order.
type orderAnswer struct {
	Log    string     `json:"log"`
	Term   uint64     `json:"term"`
	Number uint64     `json:"number"`
	Held   []int      `json:"held"`
	Fills  []progress `json:"fills"`
}

// obey makes the searcher take orders of a coordinator. It holds the given segments at first.
func (s *searcher) obey(segments []int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c := &custody{held: make(map[int]bool), addr: l.Addr().String()}
	for _, id := range segments {
		c.held[id] = true
	}
	s.mu.Lock()
	s.custody = c
	s.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/custody", func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		json.NewEncoder(w).Encode(s.takeOrder(o))
	})
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go c.server.Serve(l)
	return nil
}

// takeOrder takes an order if it is of the same log and newer than the last one, and answers how far the searcher is.
func (s *searcher) takeOrder(o order) orderAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.custody
	if (c.last.Log == "" || c.last.Log == o.Log) && (o.Term > c.last.Term || o.Term == c.last.Term && o.Number > c.last.Number) {
		for _, id := range o.Drops {
			s.record.log("searcher %s is told to drop segment %d, and does", s.id, id)
			delete(c.held, id)
		}
		for _, f := range o.Fills {
			if !c.held[f.Segment] {
				s.record.log("searcher %s is filled with segment %d", s.id, f.Segment)
				c.held[f.Segment] = true
			}
		}
		c.last = o
	}
	a := orderAnswer{Log: c.last.Log, Term: c.last.Term, Number: c.last.Number, Held: slices.Sorted(maps.Keys(c.held)), Fills: []progress{}}
	for _, f := range c.last.Fills {
		a.Fills = append(a.Fills, progress{f.Job, f.Segment, true, 0})
	}
	return a
}
