package shares

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// node is a place in the tree over which reports are summed up. Level 0 is the root. All daemons
// report to a node of the lowest level. A node is owned by a daemon, chosen by rendezvous hashing.
type node struct {
	depth int // number of levels of the tree
	level int
	index uint64
}

// depthFor returns the number of levels in a tree over a number of daemons.
func depthFor(daemons, fanout int) int {
	depth := 1
	for n := fanout; n < daemons; n *= fanout {
		depth++
	}
	return depth
}

// nodesAt returns the number of nodes at a level.
func nodesAt(level, fanout int) uint64 {
	n := uint64(1)
	for range level {
		n *= uint64(fanout)
	}
	return n
}

// nodeFor returns the node that a daemon reports to.
func nodeFor(self state.DaemonID, daemons, fanout int) node {
	depth := depthFor(daemons, fanout)
	return node{depth: depth, level: depth - 1, index: xxhash.Sum64String(string(self)) % nodesAt(depth-1, fanout)}
}

// parent returns the node above one that is not the root.
func (n node) parent(fanout int) node {
	return node{depth: n.depth, level: n.level - 1, index: n.index % nodesAt(n.level-1, fanout)}
}

// owner returns the daemon that owns the node for a service.
func (n node) owner(service state.ServiceID, daemons []state.DaemonID) (state.DaemonID, bool) {
	return rendezvous.Owner(fmt.Sprintf("%s/%d/%d", service, n.level, n.index), daemons)
}
