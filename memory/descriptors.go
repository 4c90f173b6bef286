package memory

import (
	"math"
	"syscall"
)

// ProcessDescriptors returns the number of descriptors that the kernel lets this process open, 0 if it does not say.
func ProcessDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
