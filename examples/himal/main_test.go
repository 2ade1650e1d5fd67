package main

import (
	"testing"

	"geraniumwall/config"
)

// TestDeployment guards against an example that its own check refuses.
func TestDeployment(t *testing.T) {
	document, err := config.Marshal(deployment().Config())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := config.Parse(document); err != nil {
		t.Fatal(err)
	}
}
