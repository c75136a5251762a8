package routes

import (
	"strings"

	"github.com/rotisserie/eris"

	"merlinhall/accounts"
)

// ErrInvalid is wrapped by all errors that Check returns.
var ErrInvalid = eris.New("the manifest is invalid")

// Check validates the manifest and returns the first error found.
func (m *Manifest) Check() error {
	if m.Version == 0 {
		return eris.Wrap(ErrInvalid, "version is missing")
	}
	if _, err := accounts.NewRegistry(m.Accounts); err != nil {
		return eris.Wrap(ErrInvalid, err.Error())
	}
	services := make(map[string]bool, len(m.Services))
	for _, s := range m.Services {
		if s.Name == "" {
			return eris.Wrap(ErrInvalid, "a service has no name")
		}
		services[s.Name] = true
	}
	names := make(map[[2]string]string, len(m.Routes))
	for i := range m.Routes {
		r := &m.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		key := [2]string{r.Host, r.Prefix}
		if other, taken := names[key]; taken {
			return eris.Wrapf(ErrInvalid, "routes %q and %q have the same host and prefix", other, r.Name)
		}
		names[key] = r.Name
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	if r.Timeout <= 0 {
		return eris.Wrapf(ErrInvalid, "route %q: the timeout must be above 0", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return eris.Wrapf(ErrInvalid, "route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	total := 0
	for _, s := range r.Shares {
		if !services[s.Service] {
			return eris.Wrapf(ErrInvalid, "route %q: service %q is not defined", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return eris.Wrapf(ErrInvalid, "route %q: weight %d is negative", r.Name, s.Weight)
		}
		total += s.Weight
	}
	if total == 0 {
		return eris.Wrapf(ErrInvalid, "route %q: the weights add up to 0", r.Name)
	}
	return nil
}
