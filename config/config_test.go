package config_test

import (
	"errors"
	"os"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/config"
)

func sample() *config.Deployment {
	d := config.New("sample", "east", "west")
	team := d.Team("crew", config.Team{Weight: 1, Quota: config.Resources{CPUMillis: 1000, MemoryMB: 1000}})
	service := d.Service("quote", team, config.Service{TargetP99MS: 100, Idempotent: true})
	job := d.Job("plan", team, config.Job{Priority: config.Normal, Size: config.Resources{CPUMillis: 500}, ExpectedMS: 1000})
	d.KeepApart(service, job)
	return d
}

var _ = Describe("the document", func() {
	It("has the same bytes for the same meaning, so that a diff in review is a diff in meaning", func() {
		one, err := config.Marshal(sample().Config())
		Expect(err).NotTo(HaveOccurred())
		shuffled := sample().Config()
		slices.Reverse(shuffled.Domains)
		two, err := config.Marshal(shuffled)
		Expect(err).NotTo(HaveOccurred())
		Expect(two).To(Equal(one))
	})

	It("survives a round trip without losing a field", func() {
		document, err := config.Marshal(sample().Config())
		Expect(err).NotTo(HaveOccurred())
		parsed, err := config.Parse(document)
		Expect(err).NotTo(HaveOccurred())
		again, err := config.Marshal(parsed)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(document))
	})

	It("matches the published schema", func() {
		published, err := os.ReadFile("../docs/config.schema.json")
		Expect(err).NotTo(HaveOccurred())
		generated, err := config.Schema()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(generated)).To(Equal(string(published)), "run: geranium schema > docs/config.schema.json")
	})
})

var _ = Describe("the check", func() {
	It("lists all problems at once, each with its place and remedy", func() {
		broken := sample().Config()
		broken.Services[0].Team = "nobody"
		broken.Jobs[0].Priority = "soon"
		broken.Jobs[0].Size.CPUMillis = -1
		broken.Policy.SlowdownLimit = 0.5
		var check *config.CheckError
		Expect(errors.As(broken.Check(), &check)).To(BeTrue())
		places := []string{}
		for _, p := range check.Problems {
			places = append(places, p.Place)
			Expect(p.Remedy).NotTo(BeEmpty())
		}
		Expect(places).To(ContainElements("services[quote].team", "jobs[plan].priority",
			"jobs[plan].size.cpu_millis", "policy.slowdown_limit"))
	})

	DescribeTable("refuses a document that would be misread",
		func(document string) {
			_, err := config.Parse([]byte(document))
			var check *config.CheckError
			Expect(errors.As(err, &check)).To(BeTrue(), "%v", err)
		},
		Entry("unknown field", `{"format":1,"deployment":"a","domains":["x"],"colour":"red"}`),
		Entry("wrong type", `{"format":"1"}`),
		Entry("trailing data", `{"format":1,"deployment":"a","domains":["x"],"teams":[],"services":[],"jobs":[],"policy":{}} {}`),
		Entry("newer format", `{"format":2,"deployment":"a","domains":["x"]}`),
		Entry("domain declared twice", `{"format":1,"deployment":"a","domains":["x","x"]}`),
		Entry("empty", ``),
	)
})

// FuzzParse guards against a document that Parse accepts but Marshal cannot
// print again with the same meaning.
func FuzzParse(f *testing.F) {
	document, err := config.Marshal(sample().Config())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(document)
	f.Add([]byte(`{"format":1,"deployment":"a","domains":["x"]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		parsed, err := config.Parse(document)
		if err != nil {
			return
		}
		first, err := config.Marshal(parsed)
		if err != nil {
			t.Fatalf("accepted document cannot be printed: %v", err)
		}
		again, err := config.Parse(first)
		if err != nil {
			t.Fatalf("printed document is refused: %v", err)
		}
		second, err := config.Marshal(again)
		if err != nil || string(second) != string(first) {
			t.Fatalf("printing is not stable: %v", err)
		}
	})
}
