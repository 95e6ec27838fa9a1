package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Line marshals a value on one line, with a space after each colon and
// comma and without the escapes that only HTML needs.
func Line(value any) (string, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return "", fmt.Errorf("encode JSON: %w", err)
	}
	return spaced(bytes.TrimSpace(out.Bytes())), nil
}

// spaced adds a space after each colon and comma outside of strings.
func spaced(compact []byte) string {
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
