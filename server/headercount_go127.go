//go:build go1.27

package server

import "net/http"

// minFieldBytes is the least size of a header field: a name of one byte, a colon and a line end.
const minFieldBytes = 4

// allowManyHeaderFields has a server accept as many fields as fit into a header. net/http refuses
// more than 499 by default from Go 1.27 on; the size of headers and the budget for clients bound
// what they cost.
func allowManyHeaderFields(s *http.Server, headerBytes int) {
	s.MaxHeaderValueCount = headerBytes/minFieldBytes + 1
}
