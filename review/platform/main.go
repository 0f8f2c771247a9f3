// Command standin runs one case of the review: it starts the project's gateway as
// separate processes beside stand-ins for the store, the engines and the clients.
//
//	standin -case NAME -root REPOSITORY -record FILE
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// result is the outcome of a case.
type result struct {
	broken bool
	text   string
}

var cases = map[string]func(root string, r *record, trouble bool) (result, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "the repository")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(2)
	}
	file, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", *name, trouble)
	outcome, err := run(*root, r, trouble)
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case outcome.broken:
		r.line("BROKEN: %s", outcome.text)
		fmt.Println("broken:", outcome.text)
		os.Exit(1)
	}
	r.line("HELD: %s", outcome.text)
	fmt.Println("held:", outcome.text)
}
