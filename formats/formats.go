// Package formats writes and reads samples of every file and message format of a
// version. The samples of each released version are committed under testdata, so
// that a later version is tested against what its predecessor really wrote.
//
// To release a version, run "go run ./formats/write formats/testdata/vN" with its
// code and commit the result. See "Upgrading a fleet" in docs/OPERATIONS.md.
package formats

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Files of the samples of one version.
const (
	ReplicaDir        = "replica"
	ReplicaFile       = "replica.json"
	MessagesFile      = "messages.jsonl"
	HeartbeatsFile    = "heartbeats.json"
	ConfigurationFile = "configuration.json"
	FieldsFile        = "fields.txt"
)

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// Write writes samples of all formats of the running code to a new directory.
func Write(dir string) error {
	if err := os.MkdirAll(filepath.Dir(dir), dirMode); err != nil {
		return err
	}
	if err := os.Mkdir(dir, dirMode); err != nil {
		return fmt.Errorf("%w; samples of a released version are never written again", err)
	}
	for _, write := range []func(string) error{
		writeReplica, writeMessages, writeHeartbeats, writeConfiguration, writeSettings, writeFields,
	} {
		if err := write(dir); err != nil {
			return err
		}
	}
	return nil
}

func writeFields(dir string) error {
	return writeFile(dir, FieldsFile, []byte(strings.Join(Fields(), "\n")+"\n"))
}

func writeFile(dir, name string, data []byte) error {
	return os.WriteFile(filepath.Join(dir, name), data, fileMode)
}

func writeJSON(dir, name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return writeFile(dir, name, append(data, '\n'))
}
