//go:build !go1.27

package server

import "net/http"

// allowManyHeaderFields does nothing: net/http does not count header fields before Go 1.27.
func allowManyHeaderFields(*http.Server, int) {}
