package upstream

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// CheckStatus returns an error for a status that ends no exchange: one that HTTP does not have
// (RFC 9110, section 15, has 100 to 599), or an informational one, among them 101 (Switching
// Protocols), which no request of this package asks for. What comes with such a status is not the
// response to a request.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > 599 {
		return eris.Errorf("upstream: status %03d is none of a response", status)
	}
	return nil
}

// isInformational reports whether a response with the status is followed by another one.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
