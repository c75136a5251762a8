package entry

import (
	"fmt"
	"strings"
)

// UnknownServiceError reports a service or pool that is not in the configuration.
type UnknownServiceError struct {
	Kind  string // "service" or "pool"
	Name  string
	Known []string
}

// Error implements error.
func (e *UnknownServiceError) Error() string {
	known := strings.Join(e.Known, ", ")
	if known == "" {
		known = "none"
	}
	return fmt.Sprintf("%s %q is not in the configuration; known: %s", e.Kind, e.Name, known)
}

// InvalidRequestError reports a malformed request or one that exceeds a limit.
type InvalidRequestError struct {
	Status int // HTTP status
	Detail string
}

// Error implements error.
func (e *InvalidRequestError) Error() string { return e.Detail }

func invalid(status int, format string, args ...any) error {
	return &InvalidRequestError{Status: status, Detail: fmt.Sprintf(format, args...)}
}
