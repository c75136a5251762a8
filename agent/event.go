package agent

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// tokenEvent is the data of one server-sent event from the engine.
type tokenEvent struct {
	Token   string `json:"token"`
	Index   int    `json:"index"`
	Version uint64 `json:"version"`
	Done    bool   `json:"done"`
	Tokens  int    `json:"tokens"`
}

// parseTokenEvent decodes an event. Flat objects with plain strings, which engines
// send for nearly every token, take a fast path; encoding/json decodes the rest.
func parseTokenEvent(data []byte) (tokenEvent, error) {
	if ev, ok := scanTokenEvent(data); ok {
		return ev, nil
	}
	var ev tokenEvent
	if err := json.Unmarshal(data, &ev); err != nil {
		return ev, eris.Wrap(err, "engine event")
	}
	return ev, nil
}

// scanTokenEvent decodes an object that has only the keys of a token and contains no
// escapes, signs, or spaces outside strings. It returns false for anything else,
// valid or not.
func scanTokenEvent(b []byte) (ev tokenEvent, ok bool) {
	if len(b) < 2 || b[0] != '{' || b[len(b)-1] != '}' {
		return ev, false
	}
	b = b[1 : len(b)-1]
	for len(b) > 0 {
		var key []byte
		if key, b, ok = scanString(b); !ok || len(b) == 0 || b[0] != ':' {
			return ev, false
		}
		if b, ok = ev.scanField(string(key), b[1:]); !ok {
			return ev, false
		}
		if len(b) == 0 {
			return ev, true
		}
		if b[0] != ',' || len(b) == 1 {
			return ev, false
		}
		b = b[1:]
	}
	return ev, false
}

func (ev *tokenEvent) scanField(key string, b []byte) (rest []byte, ok bool) {
	var n uint64
	switch key {
	case "token":
		var text []byte
		text, rest, ok = scanString(b)
		ev.Token = string(text)
	case "index":
		n, rest, ok = scanNumber(b)
		ev.Index = int(n)
	case "version":
		ev.Version, rest, ok = scanNumber(b)
	}
	return rest, ok
}

// scanString reads a string of printable ASCII without escapes.
func scanString(b []byte) (text, rest []byte, ok bool) {
	if len(b) < 2 || b[0] != '"' {
		return nil, nil, false
	}
	end := bytes.IndexByte(b[1:], '"')
	if end < 0 {
		return nil, nil, false
	}
	text = b[1 : 1+end]
	for _, c := range text {
		if c < ' ' || c > '~' || c == '\\' {
			return nil, nil, false
		}
	}
	return text, b[2+end:], true
}

// scanNumber reads a decimal number of up to 18 digits without leading zeros.
func scanNumber(b []byte) (n uint64, rest []byte, ok bool) {
	i := 0
	for i < len(b) && i < 19 && b[i] >= '0' && b[i] <= '9' {
		n = n*10 + uint64(b[i]-'0')
		i++
	}
	return n, b[i:], i > 0 && i < 19 && (b[0] != '0' || i == 1)
}
