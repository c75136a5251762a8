package propagate

import (
	"os"
	"strconv"
)

// seedCount returns the number of seeds to run: MERLINHALL_SEEDS for long runs.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("MERLINHALL_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 6
}
