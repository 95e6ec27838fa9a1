package batch

import (
	"encoding/json"
	"net/http"
)

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
