// Package examples embeds example questionnaire answers and the workloads that
// "endivehill dev" generates for them.
package examples

import (
	"embed"
	"path"
)

//go:embed */answers.json */workload.json
var files embed.FS

// Names returns the names of the examples.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil // reading an embedded directory does not fail
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names
}

// Answers returns the questionnaire answers of an example.
func Answers(name string) ([]byte, error) { return files.ReadFile(path.Join(name, "answers.json")) }

// Workload returns the workload of an example.
func Workload(name string) ([]byte, error) { return files.ReadFile(path.Join(name, "workload.json")) }
