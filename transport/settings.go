package transport

import (
	"fmt"
	"os"

	"geraniumwall/settings"
)

// Settings is the object tls in the settings of a daemon. Without it the process
// uses neither keys nor encryption.
type Settings struct {
	// CertFile is the certificate of this process in PEM, with intermediates if any.
	CertFile string `json:"cert_file"`
	// KeyFile is its private key in PEM.
	KeyFile string `json:"key_file"`
	// CAFile holds the certificates, in PEM, of every CA whose peers are accepted.
	CAFile string `json:"ca_file"`
}

// Check reports every problem of the settings under the name field. The contents of
// the files are checked by LoadKeys.
func (s *Settings) Check(c *settings.Checker, field string) {
	if s == nil {
		return
	}
	check := func(name, path string) {
		if path == "" {
			c.Add(field+name, "is not set", "set all of cert_file, key_file and ca_file, or remove "+field)
		} else if _, err := os.Stat(path); err != nil {
			c.Add(field+name, err.Error(), "name a file that this process may read")
		}
	}
	check(".cert_file", s.CertFile)
	check(".key_file", s.KeyFile)
	check(".ca_file", s.CAFile)
}

// fileContents are the contents of the three fileContents.
type fileContents struct{ cert, key, ca string }

func (s *Settings) readFiles() (fileContents, error) {
	var contents fileContents
	for _, file := range []struct {
		path   string
		target *string
	}{{s.CertFile, &contents.cert}, {s.KeyFile, &contents.key}, {s.CAFile, &contents.ca}} {
		data, err := os.ReadFile(file.path)
		if err != nil {
			return contents, fmt.Errorf("%w; name a file that this process may read", err)
		}
		*file.target = string(data)
	}
	return contents, nil
}
