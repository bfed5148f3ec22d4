package runtimes

import (
	"cmp"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Keys of groups in the row: kind, queue, image and team, separated by keySeparator.
const (
	keySeparator = "|"
	hashPrefix   = "#" // of a part that is replaced by its hash
	maxKeyPart   = 64  // bytes
	keyParts     = 4
)

// kind tells what the run times of a group are of.
type kind string

const (
	kindRun  kind = "run"  // single tasks
	kindStep kind = "step" // the longest tasks of steps
)

// groupID identifies a group. The parts that the group is not specific to are empty.
type groupID struct {
	kind               kind
	queue, image, team string
}

// levels are the groups of a run, from general to specific.
type levels struct {
	ids   [3]groupID
	count int
}

// levelsOf returns the groups for a key: one for each of queue, image and team that is
// known, each as specific as the ones before it.
func levelsOf(kind kind, key Key) levels {
	var out levels
	id := groupID{kind: kind, queue: boundedPart(key.Queue)}
	if key.Queue != "" || key.Image == "" && key.Team == "" {
		out.append(id)
	}
	if key.Image != "" {
		id.image = boundedPart(key.Image)
		out.append(id)
	}
	if key.Team != "" {
		id.team = boundedPart(key.Team)
		out.append(id)
	}
	return out
}

func (l *levels) append(id groupID) {
	l.ids[l.count] = id
	l.count++
}

// level returns the position of a group among the groups of a run.
func (id groupID) level() int {
	known := 0
	for _, part := range []string{id.queue, id.image, id.team} {
		if part != "" {
			known++
		}
	}
	return max(0, known-1)
}

// compare orders general groups before specific ones, then by their parts.
func (id groupID) compare(other groupID) int {
	return cmp.Or(cmp.Compare(id.level(), other.level()), cmp.Compare(id.kind, other.kind),
		cmp.Compare(id.queue, other.queue), cmp.Compare(id.image, other.image), cmp.Compare(id.team, other.team))
}

// boundedPart returns a part of a key, or its hash if the part is long or can't be stored
// as it is.
func boundedPart(part string) string {
	if validPart(part) && !strings.HasPrefix(part, hashPrefix) {
		return part
	}
	return fmt.Sprintf("%s%016x", hashPrefix, xxhash.Sum64String(part))
}

func validPart(part string) bool {
	return len(part) <= maxKeyPart && !strings.Contains(part, keySeparator) && utf8.ValidString(part)
}

// String returns the key of the group in the row.
func (id groupID) String() string {
	return strings.Join([]string{string(id.kind), id.queue, id.image, id.team}, keySeparator)
}

// parseGroupID parses the key of a group in the row.
func parseGroupID(s string) (groupID, bool) {
	parts := strings.SplitN(s, keySeparator, keyParts+1)
	if len(parts) != keyParts {
		return groupID{}, false
	}
	id := groupID{kind(parts[0]), parts[1], parts[2], parts[3]}
	if id.kind != kindRun && id.kind != kindStep {
		return groupID{}, false
	}
	return id, validPart(id.queue) && validPart(id.image) && validPart(id.team)
}
