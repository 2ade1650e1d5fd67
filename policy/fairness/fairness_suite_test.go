package fairness_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFairness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fairness")
}
