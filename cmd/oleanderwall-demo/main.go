// Command oleanderwall-demo runs three entries and the stand-ins of the
// platform in one process, sends them the job and the requests under examples,
// prints the answers and the counters, and exits.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/oleanderwall/oleanderwall/internal/demo"
)

func main() {
	examples := flag.String("examples", "examples", "directory with job.yaml and requests.yaml")
	flag.Parse()
	if err := demo.Run(os.Stdout, os.Stderr, *examples); err != nil {
		fmt.Fprintln(os.Stderr, "oleanderwall-demo:", err)
		os.Exit(1)
	}
}
