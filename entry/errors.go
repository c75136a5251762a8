package entry

import (
	"fmt"
	"strings"
)

// UnknownServiceError names a service or pool that the configuration lacks.
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

// InvalidRequestError is a request that cannot be accepted as it is.
type InvalidRequestError struct {
	Status int // HTTP status
	Detail string
}

// Error implements error.
func (e *InvalidRequestError) Error() string { return e.Detail }

func invalid(status int, format string, args ...any) error {
	return &InvalidRequestError{Status: status, Detail: fmt.Sprintf(format, args...)}
}
