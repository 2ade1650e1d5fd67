package transport

import (
	"fmt"
	"os"

	"geraniumwall/settings"
)

// Settings is the tls object in the settings of a daemon. Without it connections are
// neither encrypted nor authenticated.
type Settings struct {
	// CertFile is the certificate of this process in PEM, followed by its intermediates
	// if there are any.
	CertFile string `json:"cert_file"`
	// KeyFile is the private key of the certificate in PEM.
	KeyFile string `json:"key_file"`
	// CAFile contains the certificates, in PEM, of all CAs that this process trusts.
	CAFile string `json:"ca_file"`
}

// Check reports all problems of the settings to c, with field as the name of the
// object. LoadKeys checks the contents of the files.
func (s *Settings) Check(c *settings.Checker, field string) {
	if s == nil {
		return
	}
	check := func(name, path string) {
		if path == "" {
			c.Add(field+name, "is not set", "set all of cert_file, key_file and ca_file, or remove "+field)
		} else if _, err := os.Stat(path); err != nil {
			c.Add(field+name, err.Error(), "specify a file that this process can read")
		}
	}
	check(".cert_file", s.CertFile)
	check(".key_file", s.KeyFile)
	check(".ca_file", s.CAFile)
}

// fileContents holds the contents of the certificate, key and CA files.
type fileContents struct{ cert, key, ca string }

func (s *Settings) readFiles() (fileContents, error) {
	var contents fileContents
	for _, file := range []struct {
		path   string
		target *string
	}{{s.CertFile, &contents.cert}, {s.KeyFile, &contents.key}, {s.CAFile, &contents.ca}} {
		data, err := os.ReadFile(file.path)
		if err != nil {
			return contents, fmt.Errorf("%w; specify a file that this process can read", err)
		}
		*file.target = string(data)
	}
	return contents, nil
}
