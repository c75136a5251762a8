package propagate

import (
	"bytes"
	"sort"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// maxCandidates bounds how many equal lines of the base are tried as the start
// of a run. Texts repeat lines such as table headers thousands of times.
const maxCandidates = 16

// ErrBadPatch is wrapped by the errors of ApplyPatch.
var ErrBadPatch = eris.New("patch does not fit the text")

// MakePatch returns the operations that turn base into text. Runs of lines that
// both have are copied, also when they moved; all else is inserted.
func MakePatch(base, text []byte) []wire.PatchOp {
	from, to := splitLines(base), splitLines(text)
	head := commonHead(from, to)
	tail := commonTail(from[head:], to[head:])
	p := patcher{base: from}
	p.copyRun(0, head)
	p.middle(to[head:len(to)-tail], head)
	p.copyRun(len(from)-tail, tail)
	return p.ops
}

// ApplyPatch returns the text that ops make of base. Errors wrap ErrBadPatch.
// limit bounds the bytes of the result.
func ApplyPatch(base []byte, ops []wire.PatchOp, limit int) ([]byte, error) {
	lines := splitLines(base)
	starts := lineStarts(lines)
	var out []byte
	for _, op := range ops {
		piece := op.Text
		if op.Count > 0 {
			end := uint64(op.From) + uint64(op.Count)
			if end > uint64(len(lines)) {
				return nil, eris.Wrapf(ErrBadPatch, "lines %d to %d of %d", op.From, end, len(lines))
			}
			piece = base[starts[op.From]:starts[end]]
		}
		if len(out)+len(piece) > limit {
			return nil, eris.Wrapf(ErrBadPatch, "result is over %d bytes", limit)
		}
		if out == nil {
			out = make([]byte, 0, min(limit, len(base)+len(piece)))
		}
		out = append(out, piece...)
	}
	return out, nil
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

func lineStarts(lines [][]byte) []int {
	starts := make([]int, len(lines)+1)
	for i, line := range lines {
		starts[i+1] = starts[i] + len(line)
	}
	return starts
}

func commonHead(a, b [][]byte) int {
	n := 0
	for n < len(a) && n < len(b) && bytes.Equal(a[n], b[n]) {
		n++
	}
	return n
}

func commonTail(a, b [][]byte) int {
	n := 0
	for n < len(a) && n < len(b) && bytes.Equal(a[len(a)-1-n], b[len(b)-1-n]) {
		n++
	}
	return n
}

type patcher struct {
	base  [][]byte
	where map[string][]int
	ops   []wire.PatchOp
}

func (p *patcher) copyRun(from, count int) {
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

func (p *patcher) insert(line []byte) {
	if n := len(p.ops); n > 0 && p.ops[n-1].Count == 0 {
		p.ops[n-1].Text = append(p.ops[n-1].Text, line...)
		return
	}
	p.ops = append(p.ops, wire.PatchOp{Text: bytes.Clone(line)})
}

// middle covers lines, whose first one stands where line next of the base stood.
func (p *patcher) middle(lines [][]byte, next int) {
	if len(lines) == 0 {
		return
	}
	p.indexBase()
	for len(lines) > 0 {
		from, run := p.bestRun(lines, next)
		if run == 0 {
			p.insert(lines[0])
			lines = lines[1:]
			continue
		}
		p.copyRun(from, run)
		next = from + run
		lines = lines[run:]
	}
}

func (p *patcher) indexBase() {
	p.where = make(map[string][]int, len(p.base))
	for i, line := range p.base {
		p.where[string(line)] = append(p.where[string(line)], i)
	}
}

// bestRun returns the longest run of the base that equals the first lines. Of
// many candidates it tries those that follow next.
func (p *patcher) bestRun(lines [][]byte, next int) (from, run int) {
	candidates := p.where[string(lines[0])]
	first := sort.SearchInts(candidates, next)
	for i := range min(maxCandidates, len(candidates)) {
		at := candidates[(first+i)%len(candidates)]
		if n := commonHead(p.base[at:], lines); n > run {
			from, run = at, n
		}
	}
	return from, run
}
