// Package operator serves the HTTP interface for operators: the configuration,
// the status of the entry, draining, metrics and health.
//
// # Usage
//
//	router.Mount("/", operator.New(options).Router())
//
// # Errors
//
// A patch that conflicts with a newer version is answered with status 409 and
// the keys that have changed since. A patch whose result is not valid is
// answered with status 422 and all faults.
package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/pkg/versioned"
)

// Store keeps the versions of the configuration.
type Store interface {
	Accept(ctx context.Context, patch configuration.Patch) (configuration.Version, error)
	Version(ctx context.Context, number configuration.Number) (configuration.FullRecord, error)
	History(ctx context.Context, after configuration.Number, limit int) ([]configuration.Record, error)
}

// Lifecycle reports whether the entry accepts requests, and starts a drain.
type Lifecycle interface {
	Ready() error
	Drain()
}

// Follower reports the source of the configuration in force.
type Follower interface {
	Status() (source configuration.Source, tableReachable bool)
}

// Options are the dependencies of a Handler.
type Options struct {
	Board       *blackboard.Board
	Store       Store
	Follower    Follower
	Lifecycle   Lifecycle
	Counters    *counter.Set
	EntryID     ids.EntryID
	Incarnation ids.Incarnation
	Zone        ids.AvailabilityZone
}

// Handler serves operators.
type Handler struct {
	opt Options
}

// New returns a handler.
func New(opt Options) *Handler {
	return &Handler{opt: opt}
}

// Status is the status of an entry.
type Status struct {
	EntryID          ids.EntryID          `json:"entry-id"`
	Incarnation      ids.Incarnation      `json:"incarnation"`
	AvailabilityZone ids.AvailabilityZone `json:"availability-zone"`
	Ready            bool                 `json:"ready"`
	NotReadyReason   string               `json:"not-ready-reason,omitempty"`
	Configuration    configuration.Number `json:"configuration-number"`
	Source           configuration.Source `json:"configuration-source,omitempty"`
	TableReachable   bool                 `json:"table-reachable"`
	Targets          int                  `json:"targets"`
	Workers          int                  `json:"workers"`
	Members          []Member             `json:"members"`
}

// Accepted is the answer to an accepted patch.
type Accepted struct {
	Number configuration.Number `json:"number"`
}

// Conflict is the answer to a patch that conflicts with a newer version.
type Conflict struct {
	jsonhttp.ErrorBody
	PresentNumber configuration.Number `json:"present-number"`
	ChangedKeys   []string             `json:"changed-keys"`
}

// Invalid is the answer to a patch whose result is not valid.
type Invalid struct {
	jsonhttp.ErrorBody
	Faults []configuration.Fault `json:"faults"`
}

// Router returns the routes for operators.
func (ha *Handler) Router() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/configuration", jsonhttp.Handle(ha.configuration))
	router.Patch("/v1/configuration", ha.patch)
	router.Get("/v1/configuration/history", ha.history)
	router.Get("/v1/configuration/versions/{number}", ha.version)
	router.Get("/v1/status", jsonhttp.Handle(ha.status))
	router.Post("/v1/drain", jsonhttp.Handle(ha.drain))
	router.Get("/metrics", ha.metrics)
	router.Get("/healthz", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusOK) })
	router.Get("/readyz", ha.ready)
	return router
}

func (ha *Handler) configuration(context.Context, jsonhttp.None) (configuration.Version, error) {
	version := ha.opt.Board.Configuration.Load()
	if version == nil {
		return configuration.Version{}, outcome.Refuse(http.StatusServiceUnavailable, "no-configuration",
			"this entry holds no configuration yet", "ask another entry or try again", 0)
	}
	return *version, nil
}

func (ha *Handler) patch(wr http.ResponseWriter, req *http.Request) {
	var patch configuration.Patch
	if err := jsonhttp.Decode(req, &patch); err != nil {
		jsonhttp.WriteError(wr, err)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), acceptTimeout)
	defer cancel()
	version, err := ha.opt.Store.Accept(ctx, patch)
	var race *configuration.RaceError
	var invalid *configuration.InvalidError
	var used *versioned.PatchIDError
	switch {
	case errors.As(err, &used):
		ha.opt.Counters.Add(counter.Refusal, "patch-id-used", 1)
		jsonhttp.WriteError(wr, outcome.Refuse(http.StatusConflict, "patch-id-used", err.Error(), "send the patch with a patch id of its own", 0))
	case errors.As(err, &race):
		ha.opt.Counters.Add(counter.Refusal, "configuration-changed", 1)
		body := errorBody("configuration-changed", err, "read the configuration and state the patch against its number")
		jsonhttp.Write(wr, http.StatusConflict, Conflict{ErrorBody: body, PresentNumber: race.Current, ChangedKeys: race.Changed})
	case errors.As(err, &invalid):
		ha.opt.Counters.Add(counter.Refusal, "configuration-invalid", 1)
		body := errorBody("configuration-invalid", err, "correct the listed keys")
		jsonhttp.Write(wr, http.StatusUnprocessableEntity, Invalid{ErrorBody: body, Faults: invalid.Faults})
	case err != nil:
		ha.opt.Counters.Add(counter.Refusal, "configuration-unknown", 1)
		jsonhttp.WriteError(wr, outcome.MayHaveRun("table-unavailable", err.Error(), "send the same patch id again"))
	default:
		jsonhttp.Write(wr, http.StatusOK, Accepted{Number: version.Number})
	}
}

// acceptTimeout bounds the processing of a patch: three calls to a slow table,
// with retries.
const acceptTimeout = 15 * time.Second

func errorBody(reason string, err error, remedy string) jsonhttp.ErrorBody {
	return jsonhttp.ErrorBody{Outcome: outcome.RefusedDidNotRun, Reason: reason, Message: err.Error(), Remedy: remedy}
}

func (ha *Handler) history(wr http.ResponseWriter, req *http.Request) {
	const defaultLimit = 100
	after, _ := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	records, err := ha.opt.Store.History(req.Context(), configuration.Number(after), defaultLimit)
	if err != nil {
		jsonhttp.WriteError(wr, tableUnavailable(err))
		return
	}
	jsonhttp.Write(wr, http.StatusOK, records)
}

func (ha *Handler) version(wr http.ResponseWriter, req *http.Request) {
	text := chi.URLParam(req, "number")
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		jsonhttp.WriteError(wr, outcome.Refuse(http.StatusBadRequest, "invalid-number", fmt.Sprintf("%q is not a version number", text), "send a number from 0", 0))
		return
	}
	record, err := ha.opt.Store.Version(req.Context(), configuration.Number(number))
	if err != nil {
		jsonhttp.WriteError(wr, tableUnavailable(err))
		return
	}
	jsonhttp.Write(wr, http.StatusOK, record)
}

func tableUnavailable(err error) error {
	return outcome.Refuse(http.StatusServiceUnavailable, "table-unavailable", err.Error(), "try again later", 0)
}

func (ha *Handler) status(context.Context, jsonhttp.None) (Status, error) {
	st := Status{
		EntryID:          ha.opt.EntryID,
		Incarnation:      ha.opt.Incarnation,
		AvailabilityZone: ha.opt.Zone,
		Ready:            true,
	}
	if err := ha.opt.Lifecycle.Ready(); err != nil {
		st.Ready = false
		st.NotReadyReason = err.Error()
	}
	if version := ha.opt.Board.Configuration.Load(); version != nil {
		st.Configuration = version.Number
	}
	st.Source, st.TableReachable = ha.opt.Follower.Status()
	st.Members = members(ha.opt.Board.Members.Load(), time.Now())
	if vms := ha.opt.Board.VMs.Load(); vms != nil {
		st.Workers = len(vms.Workers)
		for _, targets := range vms.Targets {
			st.Targets += len(targets)
		}
	}
	return st, nil
}

func (ha *Handler) drain(ctx context.Context, none jsonhttp.None) (Status, error) {
	ha.opt.Lifecycle.Drain()
	return ha.status(ctx, none)
}

func (ha *Handler) metrics(wr http.ResponseWriter, _ *http.Request) {
	wr.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = ha.opt.Counters.Write(wr)
}

func (ha *Handler) ready(wr http.ResponseWriter, _ *http.Request) {
	if err := ha.opt.Lifecycle.Ready(); err != nil {
		http.Error(wr, err.Error(), http.StatusServiceUnavailable)
		return
	}
	wr.WriteHeader(http.StatusOK)
}
