package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"mustardvane.org/vane/auth"
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
	writeJSON(w, list)
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
	writeJSON(w, EntryList{Entries: s.Entries(ws), TTLSeconds: s.ttl.Seconds()})
}

// writeJSON answers with v.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// withoutCancel keeps the values of ctx and drops its end.
func withoutCancel(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }
