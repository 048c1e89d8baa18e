package pollencrank

import "net/http"

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// IsFinalStatus reports whether a status is one with which HTTP ends a request. Anything else
// is no answer, whoever sends it: what is known as interim, and what is not known at all.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }
