package batch

import (
	"encoding/json"
	"net/http"
)

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// The error is ignored: it cannot be reported to a caller that has
	// disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
