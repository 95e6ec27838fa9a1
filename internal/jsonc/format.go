package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Line encodes a value as JSON on one line, with a space after each colon and comma
// and without HTML escaping.
func Line(value any) (string, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return "", fmt.Errorf("encode JSON: %w", err)
	}
	return addSpaces(bytes.TrimSpace(out.Bytes())), nil
}

// addSpaces adds a space after each colon and comma outside of strings.
func addSpaces(compact []byte) string {
	var out bytes.Buffer
	inString := false
	escaped := false
	for _, b := range compact {
		out.WriteByte(b)
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case !inString && (b == ':' || b == ','):
			out.WriteByte(' ')
		}
	}
	return out.String()
}
