package standin

import (
	"fmt"
	"os"
)

// LoopbackIP returns the n-th loopback address of this process, with n from 1 to 254.
// The addresses depend on the process ID, so that the fixed ports of processes that run
// at the same time don't collide.
func LoopbackIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%128, pid&0xff, n)
}
