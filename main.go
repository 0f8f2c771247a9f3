// Command bramleygw routes language-model traffic with long shared prompts.
package main

import (
	"os"

	"github.com/bramleygw/bramleygw/command"
)

func main() {
	os.Exit(command.Main(os.Args))
}
