package wal_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWAL(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wal")
}
