// Package settings reads the JSON settings of the daemons. Reading is strict:
// an unknown field, a wrong type or an impossible value is reported together
// with every other problem of the file, each with its remedy.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
)

// Checker collects the problems of a settings file.
type Checker struct{ problems []string }

// Add records a problem of a field and its remedy.
func (c *Checker) Add(field, problem, remedy string) {
	c.problems = append(c.problems, fmt.Sprintf("%s: %s; %s", field, problem, remedy))
}

// Required records a problem if value is empty.
func (c *Checker) Required(field, value string) {
	if value == "" {
		c.Add(field, "is not set", "set it in the settings file")
	}
}

// Address records a problem unless value is an IP address with a port.
func (c *Checker) Address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Add(field, fmt.Sprintf("%q is not an IP address with a port", value), "use the form 192.0.2.1:7000")
	}
}

// Addresses checks every address of a list that must not be empty.
func (c *Checker) Addresses(field string, values []string) {
	if len(values) == 0 {
		c.Add(field, "is empty", "list at least one address")
	}
	for i, value := range values {
		c.Address(fmt.Sprintf("%s[%d]", field, i), value)
	}
}

// NotNegative requires a number from 0 on.
func (c *Checker) NotNegative(field string, value int64) {
	if value < 0 {
		c.Add(field, "is negative", "set a number from 0 on")
	}
}

// Positive records a problem unless value is above zero.
func (c *Checker) Positive(field string, value int64) {
	if value <= 0 {
		c.Add(field, fmt.Sprintf("%d is not above zero", value), "use a positive number")
	}
}

// Error lists every problem of a settings file.
type Error struct {
	File     string
	Problems []string
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	return fmt.Sprintf("settings %s: %s", e.File, strings.Join(e.Problems, "\n  "))
}

// Checked is implemented by the settings of each daemon.
type Checked interface {
	// Check reports every problem of the settings to c.
	Check(c *Checker)
}

// Load reads the file into out, which holds the defaults. It returns an *Error
// with every problem found.
func Load(file string, out Checked) error {
	document, err := os.ReadFile(file) //nolint:gosec // the path is the operator's own argument
	if err != nil {
		return &Error{File: file, Problems: []string{err.Error() + "; pass the path of a settings file with -settings"}}
	}
	return Parse(file, document, out)
}

// Parse is Load for a document that was already read.
//
// The optional field "format" is the version of the settings format.
func Parse(file string, document []byte, out Checked) error {
	document, err := stripFormat(document)
	if err != nil {
		return &Error{File: file, Problems: []string{err.Error()}}
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return &Error{File: file, Problems: []string{err.Error() + "; compare with the output of -print-defaults"}}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &Error{File: file, Problems: []string{"data after the end of the document; remove it"}}
	}
	return Validate(file, out)
}

// Format is the newest settings format that this code reads.
const Format = 1

// stripFormat checks the format of a settings document and returns the rest. A
// document that is no JSON object is returned as it is, for the strict decoder.
func stripFormat(document []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(document, &fields) != nil || fields["format"] == nil {
		return document, nil //nolint:nilerr // the strict decoder reports it
	}
	var format int
	if err := json.Unmarshal(fields["format"], &format); err != nil || format < 1 || format > Format {
		return nil, fmt.Errorf("format: %s is not supported, this program reads format %d; "+
			"start the version that the settings were written for, or write them again from the output of -print-defaults",
			fields["format"], Format)
	}
	delete(fields, "format")
	return json.Marshal(fields)
}

// Validate checks settings that are already decoded.
func Validate(file string, s Checked) error {
	var c Checker
	s.Check(&c)
	if len(c.problems) > 0 {
		return &Error{File: file, Problems: c.problems}
	}
	return nil
}

// PrintDefaults writes the default settings as JSON.
func PrintDefaults(w io.Writer, defaults any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(defaults)
}
