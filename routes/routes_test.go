package routes

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func valid() *Manifest {
	return &Manifest{
		Version:  3,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "one", Host: "h", Prefix: "/x/", Timeout: time.Second, Shares: []Share{{"a", 1}}},
			{Name: "two", Host: "h", Prefix: "/x/y/", Timeout: time.Second, Shares: []Share{{"a", 90}, {"b", 10}}},
			{Name: "three", Host: "g", Prefix: "/", Timeout: time.Second, Shares: []Share{{"b", 1}}},
		},
	}
}

func TestLongestPrefixOfTheHostIsFound(t *testing.T) {
	table := NewTable(valid())
	for _, c := range []struct{ host, path, want string }{
		{"h", "/x/1", "one"}, {"h", "/x/y/1", "two"}, {"h", "/x/y", "one"}, {"g", "/x/y/1", "three"},
		{"h", "/z/1", ""}, {"f", "/x/1", ""}, {"h", "/x", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			got := ""
			if r := table.Find(c.host, c.path); r != nil {
				got = r.Name
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

func TestChooseFollowsSharesAndIsStablePerRequest(t *testing.T) {
	is := is.New(t)
	route := &valid().Routes[1]
	count := make(map[string]int)
	for i := range 5000 {
		id := fmt.Sprint("request-", i)
		service := route.Choose(id)
		is.Equal(service, route.Choose(id))
		count[service]++
	}
	is.True(count["b"] > 400 && count["b"] < 600)
	is.Equal(count["a"]+count["b"], 5000)
}

// Guards against work that goes to a service whose share is 0, beside one that has a share.
func TestServiceWithoutAShareServesNothing(t *testing.T) {
	is := is.New(t)
	route := &Route{Shares: []Share{{"standby", 0}, {"a", 100}, {"b", 0}, {"a", 5}}}
	is.True(route.Serves("a"))
	is.True(!route.Serves("standby") && !route.Serves("b") && !route.Serves("other"))
	for i := range 1000 {
		is.Equal(route.Choose(fmt.Sprint(i)), "a")
	}
	route.Shares = append(route.Shares, Share{"c", 1})
	is.True(route.Serves("c"))
}

func TestInvalidManifests(t *testing.T) {
	for name, invalidate := range map[string]func(m *Manifest){
		"no version":                      func(m *Manifest) { m.Version = 0 },
		"unknown service":                 func(m *Manifest) { m.Routes[0].Shares[0].Service = "c" },
		"unknown service in second share": func(m *Manifest) { m.Routes[1].Shares[1].Service = "c" },
		"same host and prefix":            func(m *Manifest) { m.Routes[1].Prefix = "/x/" },
		"weights add up to 0":             func(m *Manifest) { m.Routes[0].Shares[0].Weight = 0 },
		"negative weight":                 func(m *Manifest) { m.Routes[1].Shares[1].Weight = -1 },
		"no timeout":                      func(m *Manifest) { m.Routes[2].Timeout = 0 },
		"prefix":                          func(m *Manifest) { m.Routes[0].Prefix = "/x" },
		"no name":                         func(m *Manifest) { m.Services[0].Name = "" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := valid()
			is.NoErr(m.Check())
			invalidate(m)
			is.True(errors.Is(m.Check(), ErrInvalid))
		})
	}
}
