// Program rig-2 plays the cases of the second review that are scripts: it starts the project's
// processes on loopback addresses, with stand-ins of the platform, engines and clients.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(rec *record, trouble bool) error{
	"all-killed":    allKilledCase,
	"endless":       endlessCase,
	"endless-share": endlessShareCase,
	"late-order":    lateOrderCase,
	"many-items":    manyItemsCase,
	"one-lost":      oneLostCase,
	"short-fields":  shortFieldsCase,
	"submissions":   submissionsCase,
	"tenants":       tenantsCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD, in the root of the repository")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, with the disruption: %t", os.Args[1], trouble)
	if err := cases[os.Args[1]](rec, trouble); err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(rec.close())
}
