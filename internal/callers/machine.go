package callers

const (
	// processBytes is what a process takes without callers: its code, its runtime, and the
	// routes and targets of a large deployment.
	processBytes = 32 << 20
	// callersShare is the divisor of the rest of the machine's memory that may be held for
	// callers. The other part is for garbage between collections and for what callers have sent
	// and the process hasn't read.
	callersShare = 2
	// peerLinkBytes is what a connection of a peer takes with a request that is read, and
	// peersShare the divisor of the rest of the machine's memory for all of them. It overlaps the
	// part for callers: both are full only if both are flooded.
	peerLinkBytes = 192 << 10
	peersShare    = 2
	// memoryGoalShare is the part of the machine's memory that the runtime keeps to, in percent.
	memoryGoalShare = 65
	// minMemory is the smallest budget in bytes.
	minMemory = 8 << 20
	// connectionsShare and exchangesShare are the divisors of the machine's descriptors for
	// callers' connections and for exchanges.
	connectionsShare, exchangesShare = 2, 4
)

// ForMachine returns the limits of a process on a machine with so many megabytes (10^6 bytes) of
// memory and so many descriptors. Zero means unknown, and doesn't limit.
func ForMachine(memoryMB, descriptors int) Limits {
	l := Limits{Connections: descriptors / connectionsShare, Exchanges: descriptors / exchangesShare}
	if memoryMB > 0 {
		l.Memory = max(minMemory, (int64(memoryMB)*1_000_000-processBytes)/callersShare)
	}
	return l
}

// MaxTargetConnections returns how many connections to targets may be open, or 0 for any number.
// It leaves room for idle ones and probes beside the exchanges.
func MaxTargetConnections(descriptors int) int { return descriptors * 3 / 8 }

// MemoryGoal returns the soft limit in bytes of the runtime's memory, or 0 for none. It is a
// net: what is held for callers is bounded before.
func MemoryGoal(memoryMB int) int64 { return int64(memoryMB) * 1_000_000 / 100 * memoryGoalShare }

// MaxPeerLinks returns how many connections of peers are accepted, at most most.
func MaxPeerLinks(memoryMB, most int) int {
	if memoryMB == 0 {
		return most
	}
	return max(1, min(most, (memoryMB*1_000_000-processBytes)/peersShare/peerLinkBytes))
}
