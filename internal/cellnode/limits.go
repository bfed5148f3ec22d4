package cellnode

// Shares of the open files of a node. The owner of a large cell has connections of all other
// nodes and to all workers; any node may become the owner.
const (
	reservedFiles  = 200 // files, listeners, and connections to the table service and the adviser
	peerShare      = 0.25
	workerShare    = 0.5
	minConnections = 64 // of each kind, for nodes that may open very few files
)

// connectionLimits are the numbers of connections that a node keeps open at a time, 0 for the
// default or no limit. What is left is for callers.
type connectionLimits struct {
	peers   int // from other nodes
	workers int // to workers
}

// limitsFor returns the limits for a number of open files; no limits if that is 0.
func limitsFor(maxOpenFiles int) connectionLimits {
	if maxOpenFiles == 0 {
		return connectionLimits{}
	}
	usable := float64(maxOpenFiles - reservedFiles)
	return connectionLimits{
		peers:   max(minConnections, int(peerShare*usable)),
		workers: max(minConnections, int(workerShare*usable)),
	}
}
