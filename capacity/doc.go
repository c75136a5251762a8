// Package capacity holds benchmarks of marginal costs, such as the memory of one link.
// From these slopes docs/CAPACITY.md derives what each role costs at the size projected
// for two years ahead. make capacity runs them and rewrites the tables of the page.
package capacity
