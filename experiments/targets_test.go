package experiments

import (
	"bytes"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/config"
	"geraniumwall/policy/engine"
)

const testSeeds = 5

// scenario returns a scenario of Lichtdach.
func scenario(name string) Scenario {
	all := Scenarios(Lichtdach)
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	Expect(i).To(BeNumerically(">=", 0), name)
	return all[i]
}

// sources returns the Go files below a directory, without tests.
func sources(root string) []string {
	var files []string
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return err
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(files).NotTo(BeEmpty())
	return files
}

var _ = Describe("isolation of the fake", func() {
	// Guards against policies that read the parameters they are meant to learn.
	It("is not imported by any policy", func() {
		for _, file := range append(sources("../policy"), sources("baseline")...) {
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
			Expect(err).NotTo(HaveOccurred())
			for _, imported := range parsed.Imports {
				path, err := strconv.Unquote(imported.Path.Value)
				Expect(err).NotTo(HaveOccurred())
				Expect(path).NotTo(HavePrefix("geraniumwall/experiments"), file)
				Expect(path).NotTo(BeElementOf("unsafe", "reflect"), file)
			}
		}
	})

	// Guards against a fake that grows into a simulator.
	It("stays under 600 lines", func() {
		lines := 0
		for _, file := range sources("fake") {
			content, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			lines += bytes.Count(content, []byte("\n"))
		}
		Expect(lines).To(BeNumerically("<", 600))
	})

	// Guards against measurements that nobody can repeat.
	It("gives the same result for the same seed", func() {
		s := scenario("noisy-wave")
		s.Duration /= 4
		_, c := isolate(&s, 1)
		first := Run(&s, Engine(nameEngine, engine.Rules{}), 1, c)
		second := Run(&s, Engine(nameEngine, engine.Rules{}), 1, c)
		Expect(second).To(Equal(first))
	})
})

var _ = Describe("targets of the design page", func() {
	median := func(o []Outcome, of func(*Outcome) float64) float64 {
		v, _, _ := spread(o, of)
		return v
	}
	done := func(o *Outcome) float64 { return o.Done }

	// Guards against a policy that protects services by giving up batch work, or the
	// reverse, when the load moves from one service to the other.
	It("are met when the load shifts", func() {
		policies := append([]Policy{Engine(nameEngine, engine.Rules{})}, Baselines()...)
		out, err := MeasureAll(scenario("load-shift"), policies, testSeeds)
		Expect(err).NotTo(HaveOccurred())
		own := out[nameEngine]
		Expect(median(own, (*Outcome).P99Ratio)).To(BeNumerically("<=", targetFactor))
		Expect(median(own, done)).To(BeNumerically(">=", targetWork*median(out[nameFirstFit], done)))
		for _, b := range Baselines() {
			if median(out[b.Name], done) >= median(own, done) {
				Expect(median(own, (*Outcome).P99Ratio)).To(BeNumerically("<", median(out[b.Name], (*Outcome).P99Ratio)), b.Name)
			}
		}
		evictions := func(o *Outcome) float64 { return float64(o.Evictions) }
		Expect(median(own, evictions)).To(BeNumerically("<=", targetEvictions*median(out[nameReactive], evictions)))
		Expect(median(own, func(o *Outcome) float64 { return o.Lost / o.Done })).To(BeNumerically("<", targetLost))
	})

	// Guards against one bad worker that swallows tasks.
	It("are met with a worker that fails every task", func() {
		out, err := MeasureAll(scenario("failing-worker"), []Policy{Engine(nameEngine, engine.Rules{})}, testSeeds)
		Expect(err).NotTo(HaveOccurred())
		for _, o := range out[nameEngine] {
			Expect(o.Decisions["quarantined"]).To(BeNumerically(">", 0))
		}
		Expect(median(out[nameEngine], func(o *Outcome) float64 {
			return float64(o.Totals.FailedOnBroken) / float64(o.Submitted)
		})).To(BeNumerically("<", targetBroken))
	})

	// Guards against urgent work that waits behind a wave of cancellations, and
	// against hosts allocated beyond their capacity.
	It("are met when half of all tasks are cancelled at once", func() {
		out, err := MeasureAll(scenario("cancellations"), []Policy{Engine(nameEngine, engine.Rules{})}, testSeeds)
		Expect(err).NotTo(HaveOccurred())
		for _, o := range out[nameEngine] {
			Expect(o.UrgentCount).To(BeNumerically(">", 100))
			Expect(o.UrgentDelay.Seconds()).To(BeNumerically("<=", targetUrgentS))
			Expect(o.Totals.Overcommitted).To(BeZero())
		}
	})

	// Guards against sizes that exceed the memory of hosts.
	It("lose little work when declarations are wrong", func() {
		out, err := MeasureAll(scenario("wrong-sizes"), []Policy{Engine(nameEngine, engine.Rules{})}, testSeeds)
		Expect(err).NotTo(HaveOccurred())
		Expect(median(out[nameEngine], (*Outcome).P99Ratio)).To(BeNumerically("<=", targetFactor))
		Expect(median(out[nameEngine], func(o *Outcome) float64 { return o.Lost / o.Done })).To(BeNumerically("<", targetLost))
	})
})

var _ = Describe("configuration of the experiments", func() {
	// Guards against experiments that run with a configuration operators could not apply.
	It("is accepted", func() {
		s := scenario("pairwise")
		_, c := isolate(&s, 1)
		_, err := config.Marshal(c)
		Expect(err).NotTo(HaveOccurred())
	})
})
