package pollencrank

import (
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of header without the hop-by-hop fields: the standard
// ones and those that the Connection header lists.
func EndToEnd(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// FieldNameError reports a field whose name is none by RFC 9110, section 5.1.
type FieldNameError struct{ Name string }

// Error implements error.
func (e *FieldNameError) Error() string {
	return fmt.Sprintf("the field name %.40q is malformed", e.Name)
}

// CheckFieldNames returns a FieldNameError if the name of a field is malformed. net/http keeps
// the fields of an answer whose names hold a blank, inside or before the colon: whoever looks
// for the length, the coding or the signature of the answer does not find them.
func CheckFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{Name: name}
		}
	}
	return nil
}
