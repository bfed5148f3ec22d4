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

// maxQuotedBytes bounds how much of a value or name an error quotes.
const maxQuotedBytes = 64

var englishPrinter = message.NewPrinter(language.English)

// collectLeaves appends the errors without further causes in the tree e to errs.
func collectLeaves(errs *Errors, instance any, e *jsonschema.ValidationError) {
	if len(e.Causes) == 0 {
		addValidationError(errs, instance, e)
		return
	}
	for _, cause := range e.Causes {
		collectLeaves(errs, instance, cause)
	}
}

func addValidationError(errs *Errors, instance any, e *jsonschema.ValidationError) {
	path, value := locate(instance, e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			errs.addUnbounded(joinPath(path, name), "field is missing")
		}
	case *kind.AdditionalProperties:
		sort.Strings(k.Properties)
		for _, name := range k.Properties {
			errs.addUnbounded(joinPath(path, name), "unknown field; allowed are %s", allowedFields(e.SchemaURL))
		}
	case *kind.Type:
		errs.addUnbounded(documentIfEmpty(path), "value %s must be of type %s", formatValue(value), strings.Join(k.Want, " or "))
	case *kind.Enum:
		errs.addUnbounded(path, "value %s must be one of %s", formatValue(value), formatValues(k.Want))
	case *kind.Pattern:
		errs.addUnbounded(path, "value %s must match %s", formatValue(value), k.Want)
	case *kind.Minimum:
		errs.addUnbounded(path, "value %s must be at least %s", formatValue(value), k.Want.RatString())
	case *kind.Maximum:
		errs.addUnbounded(path, "value %s must be at most %s", formatValue(value), k.Want.RatString())
	case *kind.MinItems:
		errs.addUnbounded(path, "has %d entries, must have at least %d", k.Got, k.Want)
	case *kind.MaxItems:
		errs.addUnbounded(path, "has %d entries, must have at most %d", k.Got, k.Want)
	case *kind.MinLength:
		errs.addUnbounded(path, "value %s must have at least %d characters", formatValue(value), k.Want)
	case *kind.MaxLength:
		errs.addUnbounded(path, "value has %d characters, must have at most %d", k.Got, k.Want)
	default:
		errs.addUnbounded(documentIfEmpty(path), "%s", e.ErrorKind.LocalizedString(englishPrinter))
	}
}

// locate returns the path of a location as text and the value there.
func locate(instance any, location []string) (path string, value any) {
	value = instance
	for _, token := range location {
		switch v := value.(type) {
		case map[string]any:
			path = joinPath(path, token)
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

// allowedFields lists the fields of the schema type at a schema location.
func allowedFields(location string) string {
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

func joinPath(path, name string) string {
	name = truncate(name)
	if path == "" {
		return name
	}
	return path + "." + name
}

func documentIfEmpty(path string) string {
	if path == "" {
		return "document"
	}
	return path
}

func formatValues(values []any) string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = formatValue(v)
	}
	return strings.Join(out, ", ")
}

func formatValue(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprintf("%T", value)
	}
	return truncate(string(data))
}

func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
}
