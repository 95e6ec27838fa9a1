package targetconn

import (
	"bufio"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection only, and
// those that writeRequest sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Host": true, "Content-Length": true,
}

// HopByHop reports whether a header field, in canonical form, is not forwarded.
func HopByHop(name string) bool { return hopByHop[name] }

// ConnectionFields returns the additional fields that the Connection header
// declares as hop-by-hop.
func ConnectionFields(header http.Header) []string {
	var fields []string
	for _, value := range header["Connection"] {
		for field := range strings.SplitSeq(value, ",") {
			fields = append(fields, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(field)))
		}
	}
	return fields
}

// writeRequest writes the whole request.
func writeRequest(w *bufio.Writer, host string, r Request) error {
	// A bufio.Writer keeps its first error, and Flush returns it.
	_, _ = w.WriteString(r.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.URI)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(host)
	_, _ = w.WriteString("\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(len(r.Body)))
		_, _ = w.WriteString("\r\n")
	}
	if err := r.Header.WriteSubset(w, hopByHop); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	return w.Flush()
}

// wellFormed reports whether a text is safe to write into the request line.
func wellFormed(text string) bool {
	if text == "" {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == 0x7f {
			return false
		}
	}
	return true
}
