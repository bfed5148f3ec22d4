// Command endivehill is a cluster scheduler for short requests, services, batch
// jobs and gangs.
package main

import (
	"context"
	"os"

	"github.com/endivehill/endivehill/internal/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args))
}
