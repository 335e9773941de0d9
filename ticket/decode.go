package ticket

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Finding is one error in a ticket.
type Finding struct {
	Path    string `json:"path"` // JSON path, for example $.endpoints[2].slots
	Message string `json:"message"`
}

// maxFindings limits the findings that are reported for one ticket.
const maxFindings = 200

type findings []Finding

func (f *findings) add(path, format string, args ...any) {
	if len(*f) < maxFindings {
		*f = append(*f, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}

// Parse decodes a ticket. Unlike json.Unmarshal, which stops at the first
// error, it reports every malformed, unknown and repeated field with its path.
func Parse(body []byte) (*Ticket, []Finding) {
	var t Ticket
	var f findings
	if !json.Valid(body) {
		f.add("$", "not valid JSON: %v", syntaxError(body))
		return &t, f
	}
	decodeValue("$", body, reflect.ValueOf(&t).Elem(), &f)
	return &t, f
}

// syntaxError returns the error of decoding a body that is not valid JSON.
func syntaxError(body []byte) error {
	var value json.RawMessage
	if err := json.Unmarshal(body, &value); err != nil {
		return err
	}
	return errors.New("unknown error")
}

// decodeValue decodes one JSON value into target. raw has to be valid JSON.
func decodeValue(path string, raw json.RawMessage, target reflect.Value, f *findings) {
	raw = bytes.TrimSpace(raw)
	switch {
	case string(raw) == "null":
		f.add(path, "null is not allowed; leave the field out")
	case target.Kind() == reflect.Struct:
		decodeObject(path, raw, target, f)
	case target.Kind() == reflect.Slice:
		decodeArray(path, raw, target, f)
	default:
		if err := json.Unmarshal(raw, target.Addr().Interface()); err != nil {
			f.add(path, "has to be %s", kindName(target.Kind()))
		}
	}
}

// kindName returns the description of a kind for error messages.
func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number, 0 or more"
	default:
		return "a whole number"
	}
}

func decodeArray(path string, raw json.RawMessage, target reflect.Value, f *findings) {
	var items []json.RawMessage
	if json.Unmarshal(raw, &items) != nil {
		f.add(path, "has to be an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	for i, item := range items {
		decodeValue(fmt.Sprintf("%s[%d]", path, i), item, target.Index(i), f)
	}
}

func decodeObject(path string, raw json.RawMessage, target reflect.Value, f *findings) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if start, err := decoder.Token(); err != nil || start != json.Delim('{') {
		f.add(path, "has to be an object")
		return
	}
	fields := fieldsByName(target)
	seen := make(map[string]bool)
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			f.add(path, "malformed object")
			return
		}
		name := key.(string)
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil && !errors.Is(err, io.EOF) {
			f.add(path, "malformed object")
			return
		}
		fieldPath := path + "." + name
		field, known := fields[name]
		switch {
		case !known:
			f.add(fieldPath, "unknown field")
		case seen[name]:
			f.add(fieldPath, "the field is repeated")
		default:
			decodeValue(fieldPath, value, field, f)
		}
		seen[name] = true
	}
}

// fieldsByName returns the fields of a struct by JSON name. Fields of embedded
// structs are promoted, as in encoding/json.
func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			for name, value := range fieldsByName(v.Field(i)) {
				fields[name] = value
			}
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = v.Field(i)
	}
	return fields
}
