package load_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/load"
)

// Guards against a benchmark whose lines a program can't read.
var _ = It("writes measurements as JSON lines", func() {
	var out bytes.Buffer
	m := load.Measurement{Name: "restart", Value: 250, Unit: "ms", N: 3}
	Expect(load.WriteMeasurements(&out, m, m.Against(1000))).To(Succeed())
	Expect(out.String()).To(Equal(
		`{"name":"restart","value":250,"unit":"ms","baseline":0,"ratio":0,"n":3}` + "\n" +
			`{"name":"restart","value":250,"unit":"ms","baseline":1000,"ratio":0.25,"n":3}` + "\n"))
})
