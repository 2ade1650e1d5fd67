package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Marshal returns the canonical JSON of c: defaults filled in, lists in order of
// name, two-space indent, one trailing newline. The same configuration always
// gives the same bytes. It fails with *CheckError if c has problems.
func Marshal(c Config) ([]byte, error) {
	c = c.WithDefaults()
	if err := c.Check(); err != nil {
		return nil, err
	}
	sortByName(&c)
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(c); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return out.Bytes(), nil
}

// Print writes the canonical JSON of c to w.
func Print(w io.Writer, c Config) error {
	document, err := Marshal(c)
	if err != nil {
		return err
	}
	_, err = w.Write(document)
	return err
}

// Parse reads a document strictly: unknown fields, wrong types and trailing data
// are errors, and every problem that Check finds is reported.
func Parse(document []byte) (Config, error) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	var c Config
	if err := checkFormat(document); err != nil {
		return Config{}, err
	}
	if err := decoder.Decode(&c); err != nil {
		return Config{}, &CheckError{Problems: []Problem{{
			Place: "document", Text: err.Error(),
			Remedy: "geranium schema prints the fields; print the document with the configuration library instead of editing it by hand",
		}}}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Config{}, &CheckError{Problems: []Problem{{
			Place: "document", Text: "data after the end of the document",
			Remedy: "remove everything after the closing brace",
		}}}
	}
	c = c.WithDefaults()
	if err := c.Check(); err != nil {
		return Config{}, err
	}
	return c, nil
}

// checkFormat comes before the strict reading, which would report the new fields
// of a later format instead of the format.
func checkFormat(document []byte) error {
	var head struct {
		Format int `json:"format"`
	}
	if json.Unmarshal(document, &head) != nil || head.Format <= Format {
		return nil //nolint:nilerr // the strict reading reports it
	}
	return &CheckError{Problems: []Problem{{
		Place: "format", Text: fmt.Sprintf("format %d is newer than format %d, the newest that this version reads", head.Format, Format),
		Remedy: "finish the upgrade of every process and of geranium, or print the document with the library of this version",
	}}}
}

func sortByName(c *Config) {
	c.Domains = slices.Sorted(slices.Values(c.Domains))
	c.Teams = sortedBy(c.Teams, func(t Team) string { return t.Name })
	c.Services = sortedBy(c.Services, func(s Service) string { return s.Name })
	c.Jobs = sortedBy(c.Jobs, func(j Job) string { return j.Name })
	c.Apart = sortedBy(c.Apart, func(p Pair) string { return p.Service + "\x00" + p.Job })
}

func sortedBy[T any](list []T, key func(T) string) []T {
	return slices.SortedFunc(slices.Values(list), func(a, b T) int {
		return strings.Compare(key(a), key(b))
	})
}
