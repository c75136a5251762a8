package propagate

import (
	"bytes"
	"sort"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// maxMatchCandidates bounds how many equal lines of the base are tried as the start
// of a run. Texts repeat lines such as table headers thousands of times.
const maxMatchCandidates = 16

// ErrBadPatch is wrapped by the errors of ApplyPatch.
var ErrBadPatch = eris.New("patch does not fit the text")

// compareBlockBytes is the size of the pieces in which equal heads and tails of texts
// are found.
const compareBlockBytes = 4 << 10

// MakePatch returns the operations that turn base into text. Runs of lines that
// both have are copied, also when they moved; all else is inserted.
func MakePatch(base, text []byte) []wire.PatchOp {
	head := commonHead(base, text)
	tail := commonTail(base[head:], text[head:])
	p := patchBuilder{baseOffset: head}
	p.copyRun(0, head)
	p.diffMiddle(base[head:len(base)-tail], text[head:len(text)-tail])
	p.copyRun(len(base)-tail, tail)
	return p.ops
}

// ApplyPatch returns the text that ops make of base. Errors wrap ErrBadPatch.
// limit bounds the bytes of the result.
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

// commonHead returns the length of the equal whole lines at the start.
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

// commonTail returns the length of the equal whole lines at the end. Both texts
// start at the start of a line.
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

// splitLines returns the lines with their line ends.
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

// equalLines returns how many lines at the start are equal.
func equalLines(a, b [][]byte) int {
	n := 0
	for n < len(a) && n < len(b) && bytes.Equal(a[n], b[n]) {
		n++
	}
	return n
}

type patchBuilder struct {
	baseOffset    int // of the middle in the base
	base          [][]byte
	lineOffsets   []int // byte offset of each line of base in the middle
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

// diffMiddle covers what is left between the equal heads and tails. A line that moved
// lies there in both texts.
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

// bestRun returns the longest run of the base that equals the first lines. Of
// many candidates it tries those that follow next.
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
