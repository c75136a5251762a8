package control

import (
	"fmt"
	"strings"
)

const (
	// maxDiffEdits limits the edits that the search for the shortest diff tries, because
	// its memory use is quadratic in them. Above the limit the whole changed block is
	// shown as replaced.
	maxDiffEdits = 500
	// maxDiffLines and maxDiffWidth limit the number of lines in a diff and the bytes of
	// each line.
	maxDiffLines = 400
	maxDiffWidth = 400
)

// LineDiff returns the line diff between two texts: "-N line" for line N of from that
// was removed, "+N line" for line N of to that was added.
func LineDiff(from, to []byte) []string {
	a, b := textLines(from), textLines(to)
	head := 0
	for head < len(a) && head < len(b) && a[head] == b[head] {
		head++
	}
	tail := 0
	for tail < len(a)-head && tail < len(b)-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	lines := shortestEdit(a[head:len(a)-tail], b[head:len(b)-tail], head)
	for i, line := range lines {
		if len(line) > maxDiffWidth {
			lines[i] = strings.ToValidUTF8(line[:maxDiffWidth], "") + "…"
		}
	}
	if len(lines) > maxDiffLines {
		more := fmt.Sprintf("… %d more changed lines", len(lines)-maxDiffLines)
		lines = append(lines[:maxDiffLines:maxDiffLines], more)
	}
	return lines
}

func textLines(text []byte) []string {
	if len(text) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// shortestEdit returns the diff of a and b by Myers's greedy algorithm. offset is the
// number of equal lines that precede a and b in their texts.
func shortestEdit(a, b []string, offset int) []string {
	limit := min(len(a)+len(b), maxDiffEdits)
	reach := make([]int, 2*limit+2) // furthest position in a on each diagonal
	var trace [][]int
	for edits := 0; edits <= limit; edits++ {
		trace = append(trace, append([]int(nil), reach...))
		for k := -edits; k <= edits; k += 2 {
			x := nextReach(reach, k, edits, limit)
			y := x - k
			for x < len(a) && y < len(b) && a[x] == b[y] {
				x, y = x+1, y+1
			}
			reach[limit+k] = x
			if x == len(a) && y == len(b) {
				return backtrack(trace, a, b, offset, limit)
			}
		}
	}
	return replaceAll(a, b, offset)
}

// nextReach returns the position in a at which diagonal k starts after one more edit.
func nextReach(reach []int, k, edits, limit int) int {
	if k == -edits || (k != edits && reach[limit+k-1] < reach[limit+k+1]) {
		return reach[limit+k+1]
	}
	return reach[limit+k-1] + 1
}

func backtrack(trace [][]int, a, b []string, offset, limit int) []string {
	var reversed []string
	x, y := len(a), len(b)
	for edits := len(trace) - 1; edits > 0; edits-- {
		reach := trace[edits]
		k := x - y
		down := k == -edits || (k != edits && reach[limit+k-1] < reach[limit+k+1])
		if down {
			x = reach[limit+k+1]
			y = x - (k + 1)
			reversed = append(reversed, fmt.Sprintf("+%d %s", offset+y+1, b[y]))
			continue
		}
		x = reach[limit+k-1]
		y = x - (k - 1)
		reversed = append(reversed, fmt.Sprintf("-%d %s", offset+x+1, a[x]))
	}
	lines := make([]string, 0, len(reversed))
	for i := len(reversed) - 1; i >= 0; i-- {
		lines = append(lines, reversed[i])
	}
	return lines
}

func replaceAll(a, b []string, offset int) []string {
	lines := make([]string, 0, len(a)+len(b))
	for i, line := range a {
		lines = append(lines, fmt.Sprintf("-%d %s", offset+i+1, line))
	}
	for i, line := range b {
		lines = append(lines, fmt.Sprintf("+%d %s", offset+i+1, line))
	}
	return lines
}
