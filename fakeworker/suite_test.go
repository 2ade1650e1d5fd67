package fakeworker

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFakeworker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stand-in worker")
}
