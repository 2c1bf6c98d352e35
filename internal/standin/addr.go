package standin

import (
	"fmt"
	"os"
)

// LoopbackIP returns the n-th loopback address of this process, n from 1 to 254.
// Processes that run side by side get different addresses, so that fixed ports
// don't collide.
func LoopbackIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%128, pid&0xff, n)
}
