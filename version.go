package main

import (
	_ "embed"
	"strings"

	"github.com/bramleygw/bramleygw/command"
)

//go:embed version.txt
var version string

func init() {
	command.Version = strings.TrimSpace(version)
}
