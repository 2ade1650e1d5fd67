//go:build !race

package wal_test

const raceDetector = false
