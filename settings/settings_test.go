package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"merlinhall/strict"
)

const entry = `name = "entry-bole-1"
zone = "bole"
roles = ["entry"]
[listen]
callers = "127.0.2.1:8080"
admin = "127.0.2.1:8081"
[[control]]
name = "control-1"
links = "127.0.1.1:7000"
`

func faultsOf(t *testing.T, text string) strict.Faults {
	t.Helper()
	_, err := Parse("s.toml", []byte(text))
	var faults strict.Faults
	if err != nil && !eris.As(err, &faults) {
		t.Fatal(err)
	}
	return faults
}

func TestGoodSettings(t *testing.T) {
	is := is.New(t)
	s, err := Parse("s.toml", []byte(entry))
	is.NoErr(err)
	is.Equal(s.LogLevel, "info")
}

// Guards against invalid settings that are accepted or reported without their key or a
// fix. Each case changes one part of valid settings.
func TestBadSettings(t *testing.T) {
	cases := []struct{ name, old, new, key, problem string }{
		{"unknown key", `zone = "bole"`, `zones = "bole"`, "zones", "unknown key"},
		{"no zone", `zone = "bole"`, ``, "zone", "missing"},
		{"no role", `roles = ["entry"]`, `roles = []`, "roles", "no role"},
		{"bad role", `"entry"]`, `"entrance"]`, "roles[0]", "not a role"},
		{"open address", `127.0.2.1:8080`, `10.0.0.1:8080`, "listen.callers", "no TLS"},
		{"no port", `127.0.2.1:8080`, `127.0.2.1`, "listen.callers", "not an IP address"},
		{"host name", `links = "127.0.1.1:7000"`, `links = "control-1:7000"`, "control[0].links", "not an IP address"},
		{"control without data", `"entry"]`, `"entry", "control"]`, "data_dir", "missing"},
		{"agent without target", `"entry"]`, `"entry", "agent"]`, "agent.target", "missing"},
		{"half of TLS", "[listen]", "[tls]\ncert = \"absent.pem\"\n[listen]", "tls.cert", "no such file"},
		{"half-written file", `callers = "127.0.2.1:8080"`, `callers = "127.0.`, "(file)", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(entry, c.old, c.new, 1)
			is.True(text != entry) // the case changes the text
			found := false
			for _, f := range faultsOf(t, text) {
				found = found || f.Key == c.key && strings.Contains(f.Problem, c.problem) && f.Fix != ""
			}
			is.True(found)
		})
	}
}

// Guards against open = true not permitting a listener on a public address without TLS.
// TestBadSettings covers the refusal of such a listener without open = true.
func TestOpenListener(t *testing.T) {
	is := is.New(t)
	text := "open = true\n" + strings.ReplaceAll(entry, "127.0.2.1:8080", "10.0.0.1:8080")
	is.Equal(len(faultsOf(t, text)), 0)
}
