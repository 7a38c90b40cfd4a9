// Command citrondeck routes requests through model pipelines that run on mixed
// accelerators. Each role is a subcommand; see `citrondeck --help`.
package main

import (
	"os"

	"citrondeck.dev/citrondeck/citroncli"
)

func main() { os.Exit(citroncli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
