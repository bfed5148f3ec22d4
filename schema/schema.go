// Package schema embeds the JSON Schema from which package api is generated,
// so that settings, answers and configurations are checked against the same
// source.
package schema

import _ "embed"

// JSON is the text of the schema.
//
//go:embed endivehill.schema.json
var JSON []byte

// ID is the identifier of the schema, to which "#/$defs/<type>" is appended.
const ID = "https://endivehill.example/endivehill.schema.json"
