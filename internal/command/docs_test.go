package command

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// Guards against documentation with commands or flags that do not exist.
func TestDocumentedCommandsExist(t *testing.T) {
	flagName := regexp.MustCompile(`(^|\s)--([a-z0-9-]+)`)
	checked := 0
	for _, file := range []string{"../../README.md", "../../docs/OPERATIONS.md"} {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range strings.Split(string(data), "\n") {
			line, ok := strings.CutPrefix(line, "endivehill ")
			if !ok {
				continue
			}
			words := strings.Fields(line)
			command := findCommand((&invocation{}).rootCommand(), words)
			if command == nil {
				t.Errorf("%s: command %q does not exist", file, line)
				continue
			}
			checked++
			for _, m := range flagName.FindAllStringSubmatch(line, -1) {
				if !hasFlag(command, m[2]) {
					t.Errorf("%s: %q has no flag --%s", file, line, m[2])
				}
			}
		}
	}
	if checked == 0 {
		t.Error("no command was found in the documentation")
	}
}

// findCommand returns the command that words name, or nil if it does not exist or has
// subcommands.
func findCommand(c *cli.Command, words []string) *cli.Command {
	for _, w := range words {
		sub := c.Command(w)
		if sub == nil {
			break
		}
		c = sub
	}
	if len(c.Commands) > 0 {
		return nil
	}
	return c
}

func hasFlag(c *cli.Command, name string) bool {
	for _, f := range c.Flags {
		for _, n := range f.Names() {
			if n == name {
				return true
			}
		}
	}
	return false
}
