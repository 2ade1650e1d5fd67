// Package settings decodes and validates the JSON settings files of the daemons.
// Decoding is strict: it stops at the first unknown field or wrong type. Validation
// reports all invalid values of a file together. Each problem comes with its remedy.
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

// Add records a problem of a field and the remedy.
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
		c.Add(field, fmt.Sprintf("%q is not an IP address with a port up to 65535", value), "use the form 192.0.2.1:7000")
	}
}

// PeerAddress records a problem unless value is an IP address with a port at which
// another process can be reached.
func (c *Checker) PeerAddress(field, value string) {
	address, err := netip.ParseAddrPort(value)
	if err == nil && (address.Port() == 0 || address.Addr().IsUnspecified()) {
		c.Add(field, fmt.Sprintf("%q names no process", value), "use the address and the port that it listens on")
		return
	}
	c.Address(field, value)
}

// Addresses records a problem if values is empty, and one for each value that is not
// the address of another process.
func (c *Checker) Addresses(field string, values []string) {
	if len(values) == 0 {
		c.Add(field, "is empty", "list at least one address")
	}
	for i, value := range values {
		c.PeerAddress(fmt.Sprintf("%s[%d]", field, i), value)
	}
}

// NotNegative records a problem if value is negative.
func (c *Checker) NotNegative(field string, value int64) {
	if value < 0 {
		c.Add(field, "is negative", "use 0 or a positive number")
	}
}

// Positive records a problem unless value is positive.
func (c *Checker) Positive(field string, value int64) {
	if value <= 0 {
		c.Add(field, fmt.Sprintf("%d is not positive", value), "use a number above 0")
	}
}

// Error reports the problems of a settings file.
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
	// Check records all problems of the settings in c.
	Check(c *Checker)
}

// Load decodes and validates a settings file. out holds the defaults, which the fields
// of the file overwrite. Errors are of type *Error.
func Load(file string, out Checked) error {
	document, err := os.ReadFile(file) //nolint:gosec // the path is the operator's own argument
	if err != nil {
		return &Error{File: file, Problems: []string{err.Error() + "; pass the path of a settings file with -settings"}}
	}
	return Parse(file, document, out)
}

// Parse is like Load for a document that has already been read; file is its name in
// errors. The optional field "format" of the document is the version of the settings
// format.
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

// Format is the newest version of the settings format that this code reads.
const Format = 1

// stripFormat checks the format field of a settings document and returns the document
// without it. A document that is not a JSON object or has no format field is returned
// unchanged.
func stripFormat(document []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(document, &fields) != nil || fields["format"] == nil {
		return document, nil //nolint:nilerr // Parse reports invalid JSON
	}
	var format int
	if err := json.Unmarshal(fields["format"], &format); err != nil || format < 1 || format > Format {
		return nil, fmt.Errorf("format: %s is not supported, this program reads format %d; "+
			"start the version that the settings were written for, or recreate them from the output of -print-defaults",
			fields["format"], Format)
	}
	delete(fields, "format")
	return json.Marshal(fields)
}

// Validate checks decoded settings. It returns an *Error, with file as the name of the
// settings, if there are problems.
func Validate(file string, s Checked) error {
	var c Checker
	s.Check(&c)
	if len(c.problems) > 0 {
		return &Error{File: file, Problems: c.problems}
	}
	return nil
}

// PrintDefaults writes the default settings to w as indented JSON.
func PrintDefaults(w io.Writer, defaults any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(defaults)
}
