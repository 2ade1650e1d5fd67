package schedulerd

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSchedulerd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Scheduler process")
}
