package scheduler

import (
	"slices"
	"strings"
)

// byID compares a VM with an ID.
func byID(v *vm, id string) int { return strings.Compare(v.ID, id) }

// byName compares a team with a name.
func byName(t *team, name string) int { return strings.Compare(t.name, name) }

// insertSorted inserts an element with the key into a list sorted by that key, unless the
// list has one.
func insertSorted[E any](list []E, e E, key string, compare func(E, string) int) []E {
	at, found := slices.BinarySearchFunc(list, key, compare)
	if found {
		return list
	}
	return slices.Insert(list, at, e)
}

// removeSorted removes the element with the key from a list sorted by that key.
func removeSorted[E any](list []E, key string, compare func(E, string) int) []E {
	at, found := slices.BinarySearchFunc(list, key, compare)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}
