package propagate

import (
	"bytes"
	"sort"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// maxMatchCandidates bounds how many equal lines of the base are tried as the start
// of a run. Lines such as table headers occur thousands of times in a text.
const maxMatchCandidates = 16

// ErrBadPatch is wrapped by the errors of ApplyPatch.
var ErrBadPatch = eris.New("patch does not fit the text")

// compareBlockBytes is the size of the blocks that are compared at once to find the
// common head and tail of two texts.
const compareBlockBytes = 4 << 10

// MakePatch returns the operations that turn base into text. Runs of lines common to
// both are copied, even if they have moved; all other lines are inserted.
func MakePatch(base, text []byte) []wire.PatchOp {
	head := commonHead(base, text)
	tail := commonTail(base[head:], text[head:])
	p := patchBuilder{baseOffset: head}
	p.copyRun(0, head)
	p.diffMiddle(base[head:len(base)-tail], text[head:len(text)-tail])
	p.copyRun(len(base)-tail, tail)
	return p.ops
}

// ApplyPatch returns the text that results from applying ops to base. A result of more
// than limit bytes is an error. Errors wrap ErrBadPatch.
func ApplyPatch(base []byte, ops []wire.PatchOp, limit int) ([]byte, error) {
	size := 0
	for _, op := range ops {
		end := uint64(op.From) + uint64(op.Count)
		if end > uint64(len(base)) {
			return nil, eris.Wrapf(ErrBadPatch, "bytes %d to %d of %d", op.From, end, len(base))
		}
		size += int(op.Count) + len(op.Text)
		if size > limit {
			return nil, eris.Wrapf(ErrBadPatch, "result is over %d bytes", limit)
		}
	}
	out := make([]byte, 0, size)
	for _, op := range ops {
		if op.Count > 0 {
			out = append(out, base[op.From:op.From+op.Count]...)
		} else {
			out = append(out, op.Text...)
		}
	}
	return out, nil
}

// commonHead returns the length in bytes of the complete lines that a and b have in
// common at the start.
func commonHead(a, b []byte) int {
	limit := min(len(a), len(b))
	n := 0
	for n+compareBlockBytes <= limit && bytes.Equal(a[n:n+compareBlockBytes], b[n:n+compareBlockBytes]) {
		n += compareBlockBytes
	}
	for n < limit && a[n] == b[n] {
		n++
	}
	if n == len(a) && n == len(b) {
		return n
	}
	return bytes.LastIndexByte(a[:n], '\n') + 1
}

// commonTail returns the length in bytes of the complete lines that a and b have in
// common at the end. Both texts must begin at the start of a line.
func commonTail(a, b []byte) int {
	limit := min(len(a), len(b))
	n := 0
	for n+compareBlockBytes <= limit && bytes.Equal(a[len(a)-n-compareBlockBytes:len(a)-n], b[len(b)-n-compareBlockBytes:len(b)-n]) {
		n += compareBlockBytes
	}
	for n < limit && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	if n == len(a) || n == len(b) {
		if startsLine(a, n) && startsLine(b, n) {
			return n
		}
	}
	first := bytes.IndexByte(a[len(a)-n:], '\n')
	if first < 0 {
		return 0
	}
	return n - first - 1
}

// startsLine reports whether the last n bytes of text start a line.
func startsLine(text []byte, n int) bool {
	return n == len(text) || text[len(text)-n-1] == '\n'
}

// splitLines returns the lines of text, including their line ends.
func splitLines(text []byte) [][]byte {
	lines := make([][]byte, 0, bytes.Count(text, []byte("\n"))+1)
	for len(text) > 0 {
		n := bytes.IndexByte(text, '\n') + 1
		if n == 0 {
			n = len(text)
		}
		lines = append(lines, text[:n])
		text = text[n:]
	}
	return lines
}

// equalLines returns how many lines a and b have in common at the start.
func equalLines(a, b [][]byte) int {
	n := 0
	for n < len(a) && n < len(b) && bytes.Equal(a[n], b[n]) {
		n++
	}
	return n
}

type patchBuilder struct {
	baseOffset    int // byte offset of the part of the base given to diffMiddle
	base          [][]byte
	lineOffsets   []int // byte offset of each line of base, relative to baseOffset
	linePositions map[string][]int
	ops           []wire.PatchOp
}

func (p *patchBuilder) copyRun(from, count int) {
	if count == 0 {
		return
	}
	if n := len(p.ops); n > 0 {
		last := &p.ops[n-1]
		if last.Count > 0 && int(last.From+last.Count) == from {
			last.Count += uint32(count)
			return
		}
	}
	p.ops = append(p.ops, wire.PatchOp{From: uint32(from), Count: uint32(count)})
}

func (p *patchBuilder) insert(line []byte) {
	if n := len(p.ops); n > 0 && p.ops[n-1].Count == 0 {
		p.ops[n-1].Text = append(p.ops[n-1].Text, line...)
		return
	}
	p.ops = append(p.ops, wire.PatchOp{Text: bytes.Clone(line)})
}

// diffMiddle adds the operations for the parts of base and text between the common
// head and tail.
func (p *patchBuilder) diffMiddle(base, text []byte) {
	lines := splitLines(text)
	if len(lines) > 0 {
		p.indexBase(base)
	}
	next := 0
	for len(lines) > 0 {
		from, run := p.bestRun(lines, next)
		if run == 0 {
			p.insert(lines[0])
			lines = lines[1:]
			continue
		}
		p.copyRun(p.baseOffset+p.lineOffsets[from], p.lineOffsets[from+run]-p.lineOffsets[from])
		next = from + run
		lines = lines[run:]
	}
}

func (p *patchBuilder) indexBase(base []byte) {
	p.base = splitLines(base)
	p.lineOffsets = make([]int, len(p.base)+1)
	p.linePositions = make(map[string][]int, len(p.base))
	for i, line := range p.base {
		p.lineOffsets[i+1] = p.lineOffsets[i] + len(line)
		p.linePositions[string(line)] = append(p.linePositions[string(line)], i)
	}
}

// bestRun returns the start and length of the longest run of lines in the base that
// matches the beginning of lines. It tries at most maxMatchCandidates positions,
// beginning with the first one at or after next.
func (p *patchBuilder) bestRun(lines [][]byte, next int) (from, run int) {
	candidates := p.linePositions[string(lines[0])]
	first := sort.SearchInts(candidates, next)
	for i := range min(maxMatchCandidates, len(candidates)) {
		at := candidates[(first+i)%len(candidates)]
		if n := equalLines(p.base[at:], lines); n > run {
			from, run = at, n
		}
	}
	return from, run
}
