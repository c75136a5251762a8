package entry

import (
	"net/http"
	"slices"

	"merlinhall/accounts"
	"merlinhall/config"
)

// admit decides whether a caller may use a service or pool, before its body is read. With
// client accounts the caller is the account, whatever it calls itself.
func (h *callerHeaders) admit(w http.ResponseWriter, c *config.Config, access config.Access) error {
	if c.Registry() == nil {
		return nil
	}
	account, verdict := c.Registry().Admit(h.key, access.Anonymous)
	switch {
	case verdict != accounts.Admitted:
		w.Header().Set("WWW-Authenticate", "Bearer")
		if verdict == accounts.KeyMissing {
			return invalid(http.StatusUnauthorized, "a key is needed")
		}
		return invalid(http.StatusUnauthorized, "no client account has the key")
	case account == nil:
		h.caller = ""
		return nil
	case !access.Allows(account.Name):
		return invalid(http.StatusForbidden, "client account %q may not use it", account.Name)
	}
	h.caller = account.Name
	if account.Priority != nil {
		p := int8(*account.Priority)
		h.priority = &p
	}
	return nil
}

// admitCall decides whether a caller may use a plain service. It returns the configuration
// from which the call is built.
func (e *Entry) admitCall(w http.ResponseWriter, h *callerHeaders, service string) (*config.Config, error) {
	c, err := e.configuration()
	if err != nil {
		return nil, err
	}
	s := c.Service(service)
	if s == nil {
		return nil, &UnknownServiceError{Kind: "service", Name: service, Known: serviceNames(c)}
	}
	return c, h.admit(w, c, s.Access)
}

// rejectKey rejects a completion whose key cannot be right for any pool. The body names the
// pool.
func rejectKey(w http.ResponseWriter, h callerHeaders, c *config.Config) error {
	anonymous := slices.ContainsFunc(c.Pools, func(p config.Pool) bool { return p.Access.Anonymous })
	return h.admit(w, c, config.Access{Anonymous: anonymous})
}
