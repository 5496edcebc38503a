package reply

import (
	"encoding/json"
	"net/http"
)

// JSON answers 200 with v. A caller that has left is not an error.
func JSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
