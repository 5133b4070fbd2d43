package coordinator

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/migrate"
	"eiderwinch/internal/layout/reshard"
)

// Handler returns the handler of the coordinator's admin socket. Where two types are
// named, the first is the request's body and the second the answer's.
//
//	GET  /v1/status               admin.CoordinatorStatus
//	GET  /v1/layout               the layout in force, as a layout file
//	POST /v1/changes              admin.Submission; []admin.ChangeResult
//	POST /v1/changes/{job}/abort  admin.AbortRequest
func (c *Coordinator) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		if s, err := c.Status(); err != nil {
			admin.WriteError(w, http.StatusServiceUnavailable, err)
		} else {
			admin.WriteJSON(w, http.StatusOK, s)
		}
	})
	m.HandleFunc("GET /v1/layout", func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		text := c.layoutXML
		c.mu.Unlock()
		w.Header().Set("Content-Type", "application/xml")
		_, _ = w.Write(text) // an error means that the client has disconnected
	})
	m.HandleFunc("POST /v1/changes", c.handleSubmit)
	m.HandleFunc("POST /v1/changes/{job}/abort", c.handleAbort)
	return m
}

// Submit requests a change, and returns its job or why it was refused.
func (c *Coordinator) Submit(change layout.Change) (reshard.JobID, error) {
	return c.driver.Submit(change)
}

// Abort requests that a job be undone.
func (c *Coordinator) Abort(id reshard.JobID, reason string) error { return c.driver.Abort(id, reason) }

// Status returns the state of the layout, the jobs, the gatherers and the searchers.
func (c *Coordinator) Status() (s admin.CoordinatorStatus, err error) {
	err = c.driver.Inspect(func(m *reshard.Coordinator) {
		s.Epoch, s.Segments, s.Counts = m.Layout().Epoch(), m.Layout().Len(), m.Counts()
		s.Jobs = []admin.Job{}
		for _, j := range m.Jobs() {
			s.Jobs = append(s.Jobs, admin.Job{
				Job: j.Job, Phase: j.Phase.String(), Over: j.Phase.IsFinal(), Successors: j.Successors, Copied: j.Copied, Targets: j.Targets,
				Reason: j.Reason, Change: admin.NewChange(j.Change, ""),
			})
		}
	})
	if err != nil {
		return admin.CoordinatorStatus{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Term, s.RowsPerSecond, s.Custody = c.term, c.tracker.Rate(), c.tracker.Counts()
	s.P99WithoutCopiesMS = float64(c.meter.BaselineP99()) / float64(time.Millisecond)
	for _, p := range c.options.Gatherers {
		epoch, up := c.gathererEpochs[p.Name]
		s.Gatherers = append(s.Gatherers, admin.ProcessState{Name: p.Name, Epoch: epoch, Up: up})
	}
	down := c.tracker.DownSearchers()
	for _, id := range c.tracker.Searchers() {
		s.Searchers = append(s.Searchers, admin.ProcessState{Name: id, Up: !slices.Contains(down, id)})
	}
	return s, nil
}

// maxChangesPerSubmission bounds one submission. It equals the default of
// reshard.Limits.MaxOpenJobs.
const maxChangesPerSubmission = 64

var errEpochMismatch = errors.New("the layout has changed since")

func (c *Coordinator) handleSubmit(w http.ResponseWriter, r *http.Request) {
	var in admin.Submission
	if !admin.ReadJSON(w, r, &in) {
		return
	}
	var list []layout.Change
	for i, x := range in.Changes {
		change, err := x.Layout()
		if err != nil {
			admin.WriteError(w, http.StatusBadRequest, fmt.Errorf("change %d: %w", i+1, err))
			return
		}
		list = append(list, change)
	}
	if len(list) == 0 || len(list) > maxChangesPerSubmission {
		admin.WriteError(w, http.StatusBadRequest, fmt.Errorf("found %d changes, want 1 to %d", len(list), maxChangesPerSubmission))
		return
	}
	c.mu.Lock()
	epoch := c.layout.Epoch()
	c.mu.Unlock()
	if in.Epoch != 0 && in.Epoch != epoch {
		admin.WriteError(w, http.StatusConflict, fmt.Errorf("%w: the changes are for epoch %d, in force is %d", errEpochMismatch, in.Epoch, epoch))
		return
	}
	var out []admin.ChangeResult
	for _, change := range list {
		id, err := c.Submit(change)
		if errors.Is(err, migrate.ErrEnded) {
			admin.WriteError(w, http.StatusServiceUnavailable, err)
			return
		}
		result := admin.ChangeResult{Job: id}
		if err != nil {
			result.Error = err.Error()
		}
		out = append(out, result)
	}
	admin.WriteJSON(w, http.StatusOK, out)
}

func (c *Coordinator) handleAbort(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("job"), 10, 64)
	if err != nil {
		admin.WriteError(w, http.StatusBadRequest, fmt.Errorf("found change %.40q, want a number", r.PathValue("job")))
		return
	}
	var in admin.AbortRequest
	if !admin.ReadJSON(w, r, &in) {
		return
	}
	switch err := c.Abort(reshard.JobID(id), in.Reason); {
	case err == nil:
		admin.WriteJSON(w, http.StatusOK, struct{}{})
	case errors.Is(err, reshard.ErrUnknownJob):
		admin.WriteError(w, http.StatusNotFound, err)
	case errors.Is(err, reshard.ErrTooLate):
		admin.WriteError(w, http.StatusConflict, err)
	default:
		admin.WriteError(w, http.StatusServiceUnavailable, err)
	}
}
