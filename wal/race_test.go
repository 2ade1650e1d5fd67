//go:build race

package wal_test

// raceDetector: instrumented code is several times slower, so times of the
// program can't be checked with it.
const raceDetector = true
