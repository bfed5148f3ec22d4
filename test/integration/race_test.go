//go:build race

package integration

func init() { raceEnabled = true }
