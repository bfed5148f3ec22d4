package node

import "golang.org/x/sys/unix"

// callerFileDivisor is the part of the descriptors of the process that connections of callers may
// use, a half. The others are for upstreams, the platform and other nodes.
const callerFileDivisor = 2

// callerConnections returns the number of connections of callers: the setting, or fewer if the
// process may open fewer descriptors. maxFiles is 0 if that number is not known.
func callerConnections(setting int, maxFiles uint64) int {
	if maxFiles == 0 {
		return setting
	}
	return int(min(uint64(setting), max(1, maxFiles/callerFileDivisor)))
}

// maxOpenFiles returns the number of descriptors that the process may open, 0 if it is not known.
func maxOpenFiles() uint64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}
