// Command geranium-experiments measures the scheduling decisions and prints one
// JSON object a line: {"name","value","unit","baseline","ratio","n"}.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"geraniumwall/experiments"
)

const leastSeeds = 5

func main() {
	parts := flag.String("parts", "compare,rules,cost", "parts to run, separated by commas")
	filter := flag.String("filter", "", "run only scenarios or rules whose name contains this")
	seeds := flag.Int("seeds", leastSeeds, "seeds for each scenario")
	flag.Parse()
	if err := run(*parts, *filter, *seeds); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(parts, filter string, seeds int) error {
	if seeds < 1 {
		return fmt.Errorf("%d seeds are too few; use at least 1", seeds)
	}
	write := func(lines []experiments.Line) error { return experiments.Print(os.Stdout, lines) }
	for _, part := range strings.Split(parts, ",") {
		if err := runPart(part, filter, seeds, write); err != nil {
			return err
		}
	}
	return nil
}

func runPart(part, filter string, seeds int, write func([]experiments.Line) error) error {
	switch part {
	case "compare":
		for _, d := range []experiments.Deployment{experiments.Lichtdach, experiments.Himal} {
			if err := experiments.Compare(d, filter, seeds, write); err != nil {
				return err
			}
		}
		return nil
	case "rules":
		return experiments.Ablate(experiments.Lichtdach, filter, seeds, write)
	case "cost":
		for _, workers := range experiments.FleetSizes {
			if err := write(experiments.Cost(workers)); err != nil {
				return err
			}
		}
		return nil
	default:
		return fmt.Errorf("part %q is unknown; use compare, rules or cost", part)
	}
}
