// Command rattanwall runs every process of the system and provides its command line.
package main

import (
	"os"

	"github.com/rattanwall/rattanwall/internal/command"
)

func main() { os.Exit(command.Main()) }
