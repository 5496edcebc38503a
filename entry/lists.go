package entry

import (
	"context"
	"net/http"

	"mustardvane.org/vane/auth"
	"mustardvane.org/vane/internal/reply"
)

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models serves GET /v1/models.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c := s.begin(r)
	_, v, err := s.authorize(c, r)
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

// EntryList is the answer of GET /v1/entries.
type EntryList struct {
	Entries    []Address `json:"entries"`
	TTLSeconds float64   `json:"ttl_seconds"`
}

// entries serves GET /v1/entries. Asked with a key it answers the addresses that
// suit the workspace, so that its traffic meets few nodes.
func (s *Server) entries(w http.ResponseWriter, r *http.Request) {
	ws := ""
	if key, err := auth.Key(r.Header); err == nil {
		if found, ok := s.View().WorkspaceByKey(key); ok {
			ws = found.Name
		}
	}
	reply.JSON(w, EntryList{Entries: s.EntryAddresses(ws), TTLSeconds: s.ttl.Seconds()})
}

// withoutCancel keeps the values of ctx and drops its end.
func withoutCancel(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }
