// Command write writes the generated pages below the module root given as its
// argument.
package main

import (
	"fmt"
	"os"

	"github.com/hibiscuswick/hibiscuswick/internal/catalogue"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: write ROOT")
		os.Exit(2)
	}
	if err := catalogue.Write(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
