package batch

import (
	"encoding/json"
	"net/http"
)

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(body)
}
