package control

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestControl(t *testing.T) {
	// A fixed seed gives the same verdict every time.
	Expect := NewWithT(t).Expect
	Expect(flag.Set("rapid.seed", "20261204")).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}
