// Package document decodes JSON documents strictly and checks them against the
// embedded schema. It reports all errors of a document together, each with the path
// of the field, the value and what is allowed.
package document

import (
	"bytes"
	"encoding/json"
	stderrors "errors"
	"io"
	"os"
	"sync"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/schema"
)

// MaxBytes is the maximum size of a document read from a file or stdin.
const MaxBytes = 8 << 20

// ReadFile reads the file at path, or stdin if path is "-" and stdin is not nil.
func ReadFile(path string, stdin io.Reader) ([]byte, error) {
	in := stdin
	if path != "-" || stdin == nil {
		f, err := os.Open(path)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidArgument, path, "file cannot be read")
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, MaxBytes+1))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidArgument, path, "file cannot be read")
	}
	if len(data) > MaxBytes {
		return nil, errkind.New(errkind.BodyTooLarge, path, "file is larger than %d bytes", MaxBytes)
	}
	return data, nil
}

// Decode checks data against the schema type def and decodes it into out. Errors in
// the content of data are returned as Errors.
func Decode(data []byte, def string, out any) error {
	if errs := scan(data); len(errs) > 0 {
		return errs
	}
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Errors{errkind.Wrap(err, errkind.InvalidArgument, "document", "malformed JSON")}
	}
	if err := validate(instance, def); err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return Errors{errkind.Wrap(err, errkind.InvalidArgument, "document", "value does not fit its field")}
	}
	return nil
}

// Check checks a Go value against the schema type def.
func Check(value any, def string) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode a value of type %s", def)
	}
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return errors.Wrapf(err, "decode a value of type %s", def)
	}
	return validate(instance, def)
}

// Defaults returns a JSON object with the default values of the direct fields of the
// schema type def.
func Defaults(def string) ([]byte, error) {
	properties, err := propertiesOf(def)
	if err != nil {
		return nil, err
	}
	values := map[string]any{}
	for name, p := range properties {
		if value, ok := p["default"]; ok {
			values[name] = value
		}
	}
	return json.Marshal(values)
}

func validate(instance any, def string) error {
	s, err := compiledSchema(def)
	if err != nil {
		return err
	}
	err = s.Validate(instance)
	var invalid *jsonschema.ValidationError
	if !stderrors.As(err, &invalid) {
		return err
	}
	var errs Errors
	collectLeaves(&errs, instance, invalid)
	return errs.sorted().Err()
}

// parsedSchema returns the embedded schema, parsed once.
var parsedSchema = sync.OnceValues(func() (map[string]any, error) {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema.JSON))
	if err != nil {
		return nil, errors.Wrap(err, "parse the embedded schema")
	}
	root, ok := parsed.(map[string]any)
	if !ok {
		return nil, errors.New("the embedded schema is not an object")
	}
	return root, nil
})

var compiledSchemas sync.Map // type name -> *jsonschema.Schema

func compiledSchema(def string) (*jsonschema.Schema, error) {
	if s, ok := compiledSchemas.Load(def); ok {
		return s.(*jsonschema.Schema), nil
	}
	root, err := parsedSchema()
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schema.ID, root); err != nil {
		return nil, errors.Wrap(err, "add the embedded schema")
	}
	s, err := c.Compile(schema.ID + "#/$defs/" + def)
	if err != nil {
		return nil, errors.Wrapf(err, "compile the schema of %s", def)
	}
	compiledSchemas.Store(def, s)
	return s, nil
}

func propertiesOf(def string) (map[string]map[string]any, error) {
	root, err := parsedSchema()
	if err != nil {
		return nil, err
	}
	defs, _ := root["$defs"].(map[string]any)
	object, _ := defs[def].(map[string]any)
	properties, ok := object["properties"].(map[string]any)
	if !ok {
		return nil, errors.Errorf("type %q of the schema has no properties", def)
	}
	out := make(map[string]map[string]any, len(properties))
	for name, p := range properties {
		out[name], _ = p.(map[string]any)
	}
	return out, nil
}
