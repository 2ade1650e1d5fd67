package config

import (
	"encoding/json"
	"fmt"

	"github.com/invopop/jsonschema"
)

// Schema returns the JSON Schema of the configuration document, generated from
// the types, so that other languages can print the same document.
func Schema() ([]byte, error) {
	reflector := jsonschema.Reflector{Anonymous: true}
	schema := reflector.Reflect(&Config{})
	document, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode the schema: %w", err)
	}
	return append(document, '\n'), nil
}
