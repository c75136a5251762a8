package wire

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against targets of unknown software versions, such as those that a former version of
// this program lists, that count as having the same one.
func TestUnknownSoftwareIsLikeNoOther(t *testing.T) {
	is := is.New(t)
	a, b := TargetEntry{ID: "a", Service: "s"}, TargetEntry{ID: "b", Service: "s"}
	is.True(a.Software() != b.Software())
	a.Version, b.Version = "v1", "v1"
	is.Equal(a.Software(), b.Software())
}
