package strict

import (
	"fmt"
	"strings"
	"testing"
)

type benchDoc struct {
	Target []struct {
		Name string `toml:"name"`
		Zone string `toml:"zone"`
	} `toml:"target"`
}

// BenchmarkDecode shows how the time grows with the text: the ratio of 2,600 to
// 650 targets is about 4 while it is linear.
func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{650, 2600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := []byte(strings.Repeat("[[target]]\nname = \"engine\"\nzone = \"bole\"\n\n", n))
			for b.Loop() {
				var doc benchDoc
				if d := Decode("bench", text, &doc); !d.Valid() {
					b.Fatal(d.Err())
				}
			}
		})
	}
}
