package operators

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/uptrace/bunrouter"

	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/publishing"
)

const maxNoteBytes = 1 << 20

// handler serves the operators' interface of a node.
type handler struct {
	node Node
}

// Handler returns the HTTP handler of a node's operators' interface; metrics
// serves /metrics.
func Handler(node Node, metrics http.Handler) http.Handler {
	h := &handler{node: node}
	router := bunrouter.New()
	router.GET("/healthz", h.health)
	router.GET("/readyz", h.ready)
	router.GET("/metrics", bunrouter.HTTPHandler(metrics))
	router.GET("/v1/status", h.status)
	router.GET("/v1/totals/:day", h.totals)
	router.GET("/v1/notes", h.notes)
	router.GET("/v1/notes/:id", h.note)
	router.POST("/v1/notes", h.publish)
	router.DELETE("/v1/notes/:id", h.withdraw)
	return router
}

func (h *handler) health(w http.ResponseWriter, _ bunrouter.Request) error {
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (h *handler) ready(w http.ResponseWriter, _ bunrouter.Request) error {
	if err := h.node.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return nil
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (h *handler) status(w http.ResponseWriter, request bunrouter.Request) error {
	return writeJSON(w, h.node.Status(request.Context()))
}

func (h *handler) totals(w http.ResponseWriter, request bunrouter.Request) error {
	summary, err := h.node.Totals(request.Context(), request.Param("day"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return nil
	}
	return writeJSON(w, NewTotalsDocument(summary))
}

func (h *handler) notes(w http.ResponseWriter, _ bunrouter.Request) error {
	statuses := []NoteStatus{}
	if state := h.node.State(); state != nil {
		for i := range slices.Backward(state.Notes) {
			statuses = append(statuses, noteStatus(&state.Notes[i]))
		}
	}
	return writeJSON(w, statuses)
}

func (h *handler) note(w http.ResponseWriter, request bunrouter.Request) error {
	id := request.Param("id")
	if state := h.node.State(); state != nil {
		if applied, ok := state.Note(id); ok {
			return writeJSON(w, noteStatus(applied))
		}
	}
	http.Error(w, "note "+strconv.Quote(id)+" does not exist", http.StatusNotFound)
	return nil
}

func noteStatus(applied *note.AppliedNote) NoteStatus {
	return NoteStatus{
		ID: applied.ID, Revision: applied.Revision, At: applied.At,
		Action: applied.Action, Message: applied.Message,
	}
}

// publish accepts a release note in TOML. The query parameters are base, amends,
// name (of the file, for error messages) and dry-run.
func (h *handler) publish(w http.ResponseWriter, request bunrouter.Request) error {
	query := request.URL.Query()
	data, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxNoteBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return nil
	}
	n, err := note.Parse(query.Get("name"), data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	before := h.node.State()
	if before == nil {
		before = &note.State{}
	}
	base := before.Revision
	if text := query.Get("base"); text != "" {
		base, err = strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "base is not a revision: "+text, http.StatusBadRequest)
			return nil
		}
	}
	if query.Get("dry-run") != "" {
		return h.dryRun(w, n, before, base, query.Get("amends"))
	}
	after, err := h.node.Publish(request.Context(), n, base, query.Get("amends"))
	if err != nil {
		return writeError(w, err)
	}
	applied, _ := after.Note(n.ID())
	return writeJSON(w, PublishResult{Revision: applied.Revision, Changes: note.Diff(before, after)})
}

// dryRun returns what publishing would change in the state in force at this node.
func (h *handler) dryRun(w http.ResponseWriter, n *note.Note, before *note.State, base uint64, amends string) error {
	after, err := before.Apply(n, note.ApplyOptions{Base: base, Amends: amends})
	if err != nil {
		return writeError(w, err)
	}
	return writeJSON(w, PublishResult{Revision: after.Revision, Changes: note.Diff(before, after)})
}

func (h *handler) withdraw(w http.ResponseWriter, request bunrouter.Request) error {
	before := h.node.State()
	if before == nil {
		before = &note.State{}
	}
	after, err := h.node.Withdraw(request.Context(), request.Param("id"))
	if err != nil {
		return writeError(w, err)
	}
	return writeJSON(w, PublishResult{Revision: after.Revision, Changes: note.Diff(before, after)})
}

func writeJSON(w http.ResponseWriter, value any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) error {
	status := http.StatusConflict
	var failure *publishing.Error
	if errors.As(err, &failure) && failure.Kind() != publishing.KindRefused {
		status = http.StatusServiceUnavailable
	}
	http.Error(w, err.Error(), status)
	return nil
}
