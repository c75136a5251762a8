// Package capacity measures the slopes from which docs/CAPACITY.md works out what
// each role costs at the size of two years ahead. It holds benchmarks only; make
// capacity runs them and rewrites the page's tables.
package capacity
