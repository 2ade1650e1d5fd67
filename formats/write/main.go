// Command write writes samples of all file and message formats of its version to a
// new directory.
package main

import (
	"fmt"
	"os"

	"geraniumwall/formats"
)

const exitUsage = 2

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: write DIRECTORY, such as formats/testdata/v2")
		os.Exit(exitUsage)
	}
	if err := formats.Write(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
