package admin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"eiderwinch/internal/fleet/transport"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/layoutfile"
	"eiderwinch/internal/netio"
	"eiderwinch/internal/querystats"
)

// Node is the part of a gatherer that its admin socket uses.
type Node interface {
	State(ctx context.Context, after int64) (netio.State, bool)
	Adopt(*layout.Layout)
}

// GathererState is the state that a gatherer reports.
type GathererState struct {
	Name     string              `json:"name"`
	Epoch    layout.Epoch        `json:"epoch"`
	Oldest   layout.Epoch        `json:"oldest"` // oldest epoch that an open query is bound to
	Draining bool                `json:"draining"`
	Service  []querystats.Window `json:"service,omitempty"`
}

// Gatherer serves the admin socket of a gatherer.
//
//	GET /v1/state?after=SECOND   GathererState, with the seconds after that one
//	PUT /v1/layout               a new epoch, as a layout file
//	GET /v1/fleet                FleetState
//	POST /v1/fleet/leave         makes the gatherer leave its fleet
type Gatherer struct {
	Name string
	Node Node
	// LayoutPath is the file that an epoch is written to before it is adopted, so that
	// a restarted gatherer never goes back to an older one. The coordinator relies
	// on that when it has old holders drop a segment. If empty, the socket accepts
	// no epochs.
	LayoutPath string
	// Fleet runs the gatherer's membership view; nil: it has no fleet.
	Fleet *transport.Node
	// Leave makes the gatherer leave the fleet.
	Leave func(context.Context) error
	// RegisterConfigHandlers registers the handlers of the configuration manager; may be nil.
	RegisterConfigHandlers func(*http.ServeMux)
}

// Handler returns the HTTP handler of the socket.
func (g *Gatherer) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/state", g.state)
	m.HandleFunc("PUT /v1/layout", g.layout)
	m.HandleFunc("GET /v1/fleet", g.fleet)
	m.HandleFunc("POST /v1/fleet/leave", g.leave)
	if g.RegisterConfigHandlers != nil {
		g.RegisterConfigHandlers(m)
	}
	return m
}

// FleetState is a gatherer's membership view of its fleet.
type FleetState struct {
	Name     string           `json:"name"`
	Addr     string           `json:"addr"`
	View     uint64           `json:"view"`            // number of the membership view, counted by this gatherer alone
	Digest   string           `json:"digest"`          // equal for gatherers whose views have the same active members
	Counted  int              `json:"counted"`         // active members
	Replaced bool             `json:"over"`            // a newer process has the same name
	Share    *FleetShare      `json:"share,omitempty"` // set if the fleet's limits are divided
	Members  []FleetMember    `json:"members"`
	Counts   transport.Counts `json:"counts"`
}

// FleetShare is a gatherer's share of the fleet's limits.
type FleetShare struct {
	Slots int       `json:"slots"` // the gatherer's own slot and those directly before it
	Until time.Time `json:"until"` // when the share falls back to the gatherer's own slot; zero: never
}

// FleetMember is a known member of the fleet, including one that is gone.
type FleetMember struct {
	Name       string `json:"name"`
	State      string `json:"state"`
	Addr       string `json:"addr"`
	Zone       string `json:"zone,omitempty"`
	Start      uint64 `json:"start"`
	Generation uint64 `json:"generation"`
	Epoch      uint64 `json:"epoch"`
}

var errNoFleet = errors.New("this gatherer has no view of a fleet: see fleet in the operators' file")

func (g *Gatherer) fleet(w http.ResponseWriter, _ *http.Request) {
	if g.Fleet == nil {
		WriteError(w, http.StatusNotFound, errNoFleet)
		return
	}
	known, counts, ok := g.Fleet.KnownMembers()
	if !ok {
		WriteError(w, http.StatusServiceUnavailable, errLeftFleet)
		return
	}
	v := g.Fleet.View()
	s := FleetState{Name: g.Name, Addr: g.Fleet.Addr(), View: v.Number, Digest: fmt.Sprintf("%016x", v.Digest), Counted: len(v.Members), Replaced: g.Fleet.SteppedDown(), Counts: counts}
	if share, ok := g.Fleet.Share(); ok {
		s.Share = &FleetShare{share.Slots, share.Until}
	}
	for _, m := range known {
		s.Members = append(s.Members, FleetMember{m.Name, m.State.String(), m.Addr, m.Zone, m.Incarnation.Start, m.Generation, m.Epoch})
	}
	WriteJSON(w, http.StatusOK, s)
}

func (g *Gatherer) leave(w http.ResponseWriter, r *http.Request) {
	if g.Fleet == nil || g.Leave == nil {
		WriteError(w, http.StatusNotFound, errNoFleet)
		return
	}
	if err := g.Leave(r.Context()); err != nil {
		WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	WriteJSON(w, http.StatusOK, struct{}{})
}

var errLeftFleet = errors.New("the gatherer has left its fleet, or has ended")

var errNotServing = errors.New("the gatherer does not serve yet, or has ended")

func (g *Gatherer) state(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if s := r.FormValue("after"); s != "" {
		var err error
		if after, err = strconv.ParseInt(s, 10, 64); err != nil {
			WriteError(w, http.StatusBadRequest, fmt.Errorf("after: found %.40q, want a Unix time in seconds", s))
			return
		}
	}
	s, ok := g.Node.State(r.Context(), after)
	if !ok {
		WriteError(w, http.StatusServiceUnavailable, errNotServing)
		return
	}
	WriteJSON(w, http.StatusOK, GathererState{g.Name, s.Epoch, s.OldestEpoch, s.Draining, s.Service})
}

func (g *Gatherer) layout(w http.ResponseWriter, r *http.Request) {
	if g.LayoutPath == "" {
		WriteError(w, http.StatusForbidden, errors.New("this gatherer does not follow a coordinator: see layout/@follow in the operators' file"))
		return
	}
	var text bytes.Buffer
	if _, err := text.ReadFrom(r.Body); err != nil {
		WriteError(w, http.StatusBadRequest, err)
		return
	}
	l, fleet, err := layoutfile.Read("layout", bytes.NewReader(text.Bytes()))
	if err == nil {
		err = l.Check(fleet)
	}
	if err != nil {
		WriteError(w, http.StatusUnprocessableEntity, err)
		return
	}
	s, ok := g.Node.State(r.Context(), 1<<62)
	switch {
	case !ok:
		WriteError(w, http.StatusServiceUnavailable, errNotServing)
		return
	case l.Epoch() < s.Epoch:
		WriteError(w, http.StatusConflict, fmt.Errorf("found epoch %d, want %d or a later one", l.Epoch(), s.Epoch))
		return
	case l.Epoch() > s.Epoch:
		if err := WriteFileAtomic(g.LayoutPath, text.Bytes()); err != nil {
			WriteError(w, http.StatusInternalServerError, fmt.Errorf("epoch %d is not adopted: %w", l.Epoch(), err))
			return
		}
		g.Node.Adopt(l)
	}
	WriteJSON(w, http.StatusOK, GathererState{Name: g.Name, Epoch: l.Epoch(), Oldest: s.OldestEpoch, Draining: s.Draining})
}

// WriteFileAtomic replaces a file's contents atomically and durably: if the machine stops at
// any time, the file holds either the old or the whole new text.
func WriteFileAtomic(path string, text []byte) (err error) {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, "."+filepath.Base(path)+"-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name())
		}
	}()
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), path); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
