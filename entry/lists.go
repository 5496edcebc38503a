package entry

import (
	"context"
	"net/http"

	"mustardvane.org/vane/auth"
	"mustardvane.org/vane/internal/reply"
)

// modelList is the response of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem describes one model in the form that chat clients expect.
type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// handleModels serves GET /v1/models.
func (s *Server) handleModels(w http.ResponseWriter, r *http.Request) {
	c := s.newRequest(r)
	_, v, err := s.authenticate(c, r)
	if err != nil {
		s.refuse(w, c, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range v.Fleet.Models {
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: "mustardvane"})
	}
	reply.JSON(w, list)
}

// EntryList is the response of GET /v1/entries. Callers may use the addresses for
// TTLSeconds.
type EntryList struct {
	Entries    []Address `json:"entries"`
	TTLSeconds float64   `json:"ttl_seconds"`
}

// handleEntries serves GET /v1/entries. To a request with a valid key it returns the
// addresses chosen for the workspace, so that the workspace's traffic goes to few
// nodes. A request without a valid key is not refused.
func (s *Server) handleEntries(w http.ResponseWriter, r *http.Request) {
	ws := ""
	if key, err := auth.Key(r.Header); err == nil {
		if found, ok := s.View().WorkspaceByKey(key); ok {
			ws = found.Name
		}
	}
	reply.JSON(w, EntryList{Entries: s.EntryAddresses(ws), TTLSeconds: s.entriesTTL.Seconds()})
}

// withoutCancel returns a context with the values of ctx that is never cancelled.
func withoutCancel(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }
