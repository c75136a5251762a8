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

// BenchmarkDecode measures whether decoding time grows linearly with the text: from 650
// to 2,600 targets it should grow by a factor of about 4.
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
