// Command oleanderwall runs an entry, and provides the commands for callers and
// operators. Without arguments it lists the commands.
package main

import (
	"os"

	"github.com/oleanderwall/oleanderwall/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
