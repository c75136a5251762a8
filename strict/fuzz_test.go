package strict

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

type fuzzDocument struct {
	Name  string         `toml:"name"`
	Wait  Duration       `toml:"wait"`
	Share float64        `toml:"share"`
	Limit *int           `toml:"limit"`
	Tags  []string       `toml:"tags"`
	Item  []fuzzItem     `toml:"item"`
	Inner fuzzItem       `toml:"inner"`
	Any   map[string]int `toml:"any"`
}

type fuzzItem struct {
	Name string `toml:"name"`
	On   bool   `toml:"on"`
	Size uint16 `toml:"size"`
}

// Operators may submit any text. Each fault names a line of it, and what has none is decoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("name = \"a\"\nwait = \"250ms\"\nshare = 0.5\nlimit = 3\ntags = [\"x\"]\n[[item]]\nname = \"i\"\non = true\nsize = 7\n[inner]\n[any]\nk = 1\n"))
	f.Add([]byte("name = 1\nwait = \"soon\"\ntags = {}\n[[inner]]\n[item]\nsize = 70000\n[unknown]\n"))
	f.Add([]byte("inner.name = \"a\"\n\"item\" = [{name = \"\\u0000\"}]\n"))
	f.Add([]byte("="))
	f.Fuzz(func(t *testing.T, text []byte) {
		var into fuzzDocument
		d := Decode("f", text, &into)
		if d.Valid() != (d.Err() == nil) {
			t.Fatal("a document with faults has no error")
		}
		lines := 1
		for _, c := range text {
			if c == '\n' {
				lines++
			}
		}
		for _, fault := range d.faults {
			if fault.Line < 0 || fault.Line > lines || fault.Problem == "" || fault.Fix == "" {
				t.Fatalf("unclear fault: %+v", fault)
			}
		}
	})
}

// Guards against a key with an escape that ends the process, or is reported at another line.
func TestEscapedKeyIsReportedAtItsLine(t *testing.T) {
	is := is.New(t)
	var into fuzzDocument
	err := Decode("f", []byte("name = \"a\"\n\n\"na\\u006De2\" = 1\n"), &into).Err()
	var faults Faults
	is.True(errors.As(err, &faults))
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Line, 3)
	is.Equal(faults[0].Key, "name2")
}
