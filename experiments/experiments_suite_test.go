package experiments

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExperiments(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "experiments")
}
