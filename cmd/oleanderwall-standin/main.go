// Command oleanderwall-standin runs one stand-in of the platform or of a back
// end: table, objects, vm-list, worker or target.
package main

import (
	"os"

	"github.com/oleanderwall/oleanderwall/internal/standin"
)

func main() {
	os.Exit(standin.Run(os.Args[1:], os.Stdout, os.Stderr))
}
