package entry

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// A scoring service answers without end: the call must end before its answer takes the
// memory of the process, and what was collected is no answer.
func TestCollectedAnswerIsBounded(t *testing.T) {
	is := is.New(t)
	a := collectedAnswer{response: ServiceResponse{ID: "i"}}
	data := make([]byte, 64<<10)
	chunk := attemptChunk{Chunk: &wire.Chunk{Status: 200, Data: data}, attempt: 1}
	is.NoErr(a.take(chunk))
	chunk.attempt = 2 // begins again
	for range maxAnswerBytes / len(data) {
		is.NoErr(a.take(chunk))
	}
	is.Equal(len(a.response.Body), maxAnswerBytes)
	is.True(!a.tooLong)
	is.True(errors.Is(a.take(chunk), errAnswerTooLong))
	is.True(a.tooLong)
	is.Equal(len(a.response.Body), maxAnswerBytes)
	is.Equal(a.response.ID, "i")
}
