package manager

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
)

// StageRequest is the request to stage a configuration. Files that are empty are taken
// from the configuration in force.
type StageRequest struct {
	bundle.Bundle
	Against   change.Generation `json:"against,omitempty"`
	Note      string            `json:"note,omitempty"`
	Signature string            `json:"signature,omitempty"` // of the bundle's hash
}

// ApplyRequest is the request to apply a staged configuration.
type ApplyRequest struct {
	WithinMS int64 `json:"within_ms,omitempty"` // length of the probation; 0: as the configuration says
	Auto     *bool `json:"auto,omitempty"`      // confirm at the end of the probation; absent: as the configuration says
}

// UndoRequest is the request to undo a change.
type UndoRequest struct {
	Reason string `json:"reason"`
}

// RegisterHandlers registers the configuration endpoints of a gatherer's admin socket. The
// right column gives the type of the request body or, for GET, of the response.
//
//	POST /v1/config                         StageRequest; responds with StageResult
//	POST /v1/config/{transaction}/apply     ApplyRequest
//	POST /v1/config/{transaction}/confirm
//	POST /v1/config/{transaction}/undo      UndoRequest
//	POST /v1/config/reload                  same as SIGHUP
//	GET  /v1/config                         Status
//	GET  /v1/config/generations/{number}    bundle.Bundle
func (m *Manager) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/config", func(w http.ResponseWriter, r *http.Request) {
		var request StageRequest
		if !admin.ReadJSON(w, r, &request) {
			return
		}
		s, err := m.Stage(r.Context(), request.Bundle, request.Against, request.Note, request.Signature)
		respond(w, s, err)
	})
	mux.HandleFunc("POST /v1/config/reload", func(w http.ResponseWriter, r *http.Request) {
		respond(w, struct{}{}, m.Reload(r.Context()))
	})
	mux.HandleFunc("GET /v1/config", func(w http.ResponseWriter, r *http.Request) {
		s, err := m.Status(r.Context())
		respond(w, s, err)
	})
	mux.HandleFunc("GET /v1/config/generations/{number}", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
		if err != nil {
			admin.WriteError(w, http.StatusBadRequest, fmt.Errorf("found generation %.40q, want a number", r.PathValue("number")))
			return
		}
		b, err := m.Show(r.Context(), change.Generation(n))
		respond(w, b, err)
	})
	handleTransaction := func(verb string, do func(context.Context, change.Tx, *http.Request, func(any) bool) error) {
		mux.HandleFunc("POST /v1/config/{transaction}/"+verb, func(w http.ResponseWriter, r *http.Request) {
			n, err := strconv.ParseUint(r.PathValue("transaction"), 10, 64)
			if err != nil {
				admin.WriteError(w, http.StatusBadRequest, fmt.Errorf("found transaction %.40q, want a number", r.PathValue("transaction")))
				return
			}
			ok := true
			err = do(r.Context(), change.Tx(n), r, func(v any) bool { ok = admin.ReadJSON(w, r, v); return ok })
			if ok {
				respond(w, struct{}{}, err)
			}
		})
	}
	handleTransaction("apply", func(ctx context.Context, tx change.Tx, _ *http.Request, read func(any) bool) error {
		var a ApplyRequest
		if !read(&a) {
			return nil
		}
		return m.Apply(ctx, tx, time.Duration(a.WithinMS)*time.Millisecond, a.Auto)
	})
	handleTransaction("confirm", func(ctx context.Context, tx change.Tx, _ *http.Request, _ func(any) bool) error {
		return m.Confirm(ctx, tx)
	})
	handleTransaction("undo", func(ctx context.Context, tx change.Tx, _ *http.Request, read func(any) bool) error {
		var u UndoRequest
		if !read(&u) {
			return nil
		}
		return m.Undo(ctx, tx, u.Reason)
	})
}

// respond writes a response, or an error with its status code.
func respond(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		admin.WriteJSON(w, http.StatusOK, v)
	case errors.Is(err, change.ErrNoTx) || errors.Is(err, ErrNoText):
		admin.WriteError(w, http.StatusNotFound, err)
	case errors.Is(err, change.ErrBusy) || errors.Is(err, change.ErrStale) || errors.Is(err, change.ErrWrongState) || errors.Is(err, change.ErrFull) ||
		errors.Is(err, change.ErrUnchanged):
		admin.WriteError(w, http.StatusConflict, err)
	case errors.Is(err, ErrEnded) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded):
		admin.WriteError(w, http.StatusServiceUnavailable, err)
	default:
		admin.WriteError(w, http.StatusUnprocessableEntity, err)
	}
}
