package document

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// maxShown is the most bytes of a value or name that an error repeats.
const maxShown = 64

var english = message.NewPrinter(language.English)

// collect appends the leaves of a validation error to errs.
func collect(errs *Errors, instance any, e *jsonschema.ValidationError) {
	if len(e.Causes) == 0 {
		explain(errs, instance, e)
		return
	}
	for _, cause := range e.Causes {
		collect(errs, instance, cause)
	}
}

func explain(errs *Errors, instance any, e *jsonschema.ValidationError) {
	path, value := locate(instance, e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			errs.add(join(path, name), "field is missing")
		}
	case *kind.AdditionalProperties:
		sort.Strings(k.Properties)
		for _, name := range k.Properties {
			errs.add(join(path, name), "unknown field; allowed are %s", fieldNames(e.SchemaURL))
		}
	case *kind.Type:
		errs.add(orDocument(path), "value %s must be of type %s", show(value), strings.Join(k.Want, " or "))
	case *kind.Enum:
		errs.add(path, "value %s must be one of %s", show(value), list(k.Want))
	case *kind.Pattern:
		errs.add(path, "value %s must match %s", show(value), k.Want)
	case *kind.Minimum:
		errs.add(path, "value %s must be at least %s", show(value), k.Want.RatString())
	case *kind.Maximum:
		errs.add(path, "value %s must be at most %s", show(value), k.Want.RatString())
	case *kind.MinItems:
		errs.add(path, "has %d entries, must have at least %d", k.Got, k.Want)
	case *kind.MaxItems:
		errs.add(path, "has %d entries, must have at most %d", k.Got, k.Want)
	case *kind.MinLength:
		errs.add(path, "value %s must have at least %d characters", show(value), k.Want)
	case *kind.MaxLength:
		errs.add(path, "value has %d characters, must have at most %d", k.Got, k.Want)
	default:
		errs.add(orDocument(path), "%s", e.ErrorKind.LocalizedString(english))
	}
}

// locate returns the path and the value at a location.
func locate(instance any, location []string) (path string, value any) {
	value = instance
	for _, token := range location {
		switch v := value.(type) {
		case map[string]any:
			path = join(path, token)
			value = v[token]
		case []any:
			path += "[" + token + "]"
			if i, err := strconv.Atoi(token); err == nil && i < len(v) {
				value = v[i]
			}
		}
	}
	return path, value
}

// fieldNames lists the fields of the type that a schema location names.
func fieldNames(location string) string {
	def := location[strings.LastIndexByte(location, '/')+1:]
	properties, err := propertiesOf(def)
	if err != nil {
		return "those of " + def
	}
	names := make([]string, 0, len(properties))
	for name := range properties {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func join(path, name string) string {
	name = shorten(name)
	if path == "" {
		return name
	}
	return path + "." + name
}

func orDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}

func list(values []any) string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = show(v)
	}
	return strings.Join(out, ", ")
}

func show(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprintf("%T", value)
	}
	return shorten(string(data))
}

func shorten(s string) string {
	if len(s) <= maxShown {
		return s
	}
	return strings.ToValidUTF8(s[:maxShown], "") + "..."
}
