package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"merlinhall/strict"
)

// Guards against an invalid configuration that is accepted, or reported without its
// key, its line or a fix. Each file lists its expected faults in "# want:" lines.
func TestBadConfigurations(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no test files", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(file)
			is.NoErr(err)
			_, err = Parse("x.toml", text)
			var faults strict.Faults
			is.True(eris.As(err, &faults))
			wants := expected(string(text))
			is.Equal(len(faults), len(wants)) // number of faults
			for _, want := range wants {
				is.True(contains(faults, want))
			}
		})
	}
}

func expected(text string) [][]string {
	var wants [][]string
	for _, line := range strings.Split(text, "\n") {
		if want, ok := strings.CutPrefix(line, "# want: "); ok {
			wants = append(wants, strings.Split(want, " | "))
		}
	}
	return wants
}

func contains(faults strict.Faults, want []string) bool {
	for _, f := range faults {
		text := f.Problem + "; " + f.Fix
		matches := f.Key == want[0] && f.Fix != "" && f.Line > 0
		for _, part := range want[1:] {
			matches = matches && strings.Contains(text, part)
		}
		if matches {
			return true
		}
	}
	return false
}

// Guards against a fault that is reported with the wrong line.
func TestFaultNamesItsLine(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/bad/dangling_scorer.toml")
	is.NoErr(err)
	_, err = Parse("x.toml", text)
	var faults strict.Faults
	is.True(eris.As(err, &faults))
	line := strings.Split(string(text), "\n")[faults[0].Line-1]
	is.True(strings.HasPrefix(line, "scorer"))
}

func TestGoodConfiguration(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/good.toml")
	is.NoErr(err)
	c, err := Parse("good.toml", text)
	is.NoErr(err)
	is.Equal(c.Pool("policy-lm").Targets[0].Zone, "bole")
	is.Equal(c.Trainer("approver").StalenessBound, uint64(2))
	is.Equal(c.Service("budget-svc").Deadline, 10*time.Second)
	is.Equal(c.Limits.RetryShare, 0.1)
}

// Guards against a non-idempotent call that is classified as idempotent.
func TestIdempotent(t *testing.T) {
	is := is.New(t)
	s := Service{Calls: []Call{
		{Method: "POST", PathPrefix: "/", Idempotent: true},
		{Method: "POST", PathPrefix: "/check", Idempotent: false},
		{PathPrefix: "/once", Idempotent: false},
	}}
	is.True(s.Idempotent("GET", "/check"))
	is.True(s.Idempotent("POST", "/other"))
	is.True(!s.Idempotent("POST", "/check/7"))
	is.True(!s.Idempotent("GET", "/once"))
	is.True(!(&Service{}).Idempotent("POST", "/x"))
	is.True(!(&Service{}).Idempotent("PATCH", "/x"))
}

// Guards against input that makes Parse or Load panic, and against a text that control
// accepts and other processes cannot load.
func FuzzParse(f *testing.F) {
	text, _ := os.ReadFile("testdata/good.toml")
	f.Add(text)
	f.Add([]byte("[[zone]]\nname = \"a\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, err := Parse("f", text)
		loaded, loadErr := Load(text)
		if err != nil {
			return
		}
		if loadErr != nil || !reflect.DeepEqual(parsed, loaded) {
			t.Fatalf("the text is valid for Parse; Load returns %v", loadErr)
		}
	})
}

// Guards against Load, used by all processes, interpreting an accepted text differently
// from Parse, used by control.
func TestLoadEqualsParse(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/good.toml")
	is.NoErr(err)
	parsed, err := Parse("good.toml", text)
	is.NoErr(err)
	loaded, err := Load(text)
	is.NoErr(err)
	is.Equal(loaded, parsed)
}
