package reply

import (
	"encoding/json"
	"net/http"
)

// JSON writes a response with status 200 and v encoded as JSON. Errors are ignored, since
// they mean as a rule that the caller has disconnected.
func JSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
