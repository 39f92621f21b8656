// Command lacewingdoor schedules requests and multi-accelerator jobs for
// organisations that share backend servers.
package main

import (
	"os"

	"github.com/lacewingdoor/lacewingdoor/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
