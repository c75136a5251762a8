package main

import (
	"strings"
	"testing"
)

// Guards against benchmark output that is parsed incorrectly.
func TestParse(t *testing.T) {
	out := "BenchmarkIdleLink/links=450-12  1  3333 ns/op  0.0157 %core/end  62.00 B/s/link\nPASS\n"
	got := parse(benchRun{}, []byte(out))
	if len(got) != 3 || got[2].name != "IdleLink/links=450" || got[2].metric != "B/s/link" || got[2].value != 62 {
		t.Fatalf("%+v", got)
	}
}

// Guards against a replacement that drops text outside the markers, and against
// missing markers that go unnoticed.
func TestReplace(t *testing.T) {
	page := "a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n"
	got, err := replaceBetweenMarkers(page, "x", "new\n")
	if err != nil || got != "a\n<!-- begin x -->\nnew\n<!-- end x -->\nb\n" {
		t.Fatalf("%q %v", got, err)
	}
	if _, err := replaceBetweenMarkers(page, "y", ""); err == nil || !strings.Contains(err.Error(), "y") {
		t.Fatal(err)
	}
}
