package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// decodeTree decodes one JSON value and keeps all digits of numbers.
func decodeTree(raw []byte) (any, error) {
	var tree any
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one JSON value")
	}
	return tree, nil
}

// typeFaults returns every key of the tree that is not a key of the type and
// every value of a wrong type. The decoder of the standard library stops at the
// first one.
func typeFaults(key string, tree any, typ reflect.Type) []Fault {
	switch typ.Kind() {
	case reflect.Struct:
		return structFaults(key, tree, typ)
	case reflect.Map:
		return mapFaults(key, tree, typ)
	case reflect.Int, reflect.Int64:
		num, ok := tree.(json.Number)
		if _, err := num.Int64(); !ok || err != nil {
			return wrongType(key, tree, "a whole number")
		}
	case reflect.Float64:
		num, ok := tree.(json.Number)
		if _, err := num.Float64(); !ok || err != nil {
			return wrongType(key, tree, "a number")
		}
	case reflect.String:
		if _, ok := tree.(string); !ok {
			return wrongType(key, tree, "a string")
		}
	case reflect.Bool:
		if _, ok := tree.(bool); !ok {
			return wrongType(key, tree, "true or false")
		}
	default:
		return []Fault{{Key: key, Message: "the check does not know the type " + typ.String()}}
	}
	return nil
}

func structFaults(key string, tree any, typ reflect.Type) []Fault {
	fields, ok := tree.(map[string]any)
	if !ok {
		return wrongType(key, tree, "an object")
	}
	known := map[string]reflect.Type{}
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		known[name] = typ.Field(i).Type
	}
	var faults []Fault
	for name, val := range fields {
		field, ok := known[name]
		if !ok {
			faults = append(faults, Fault{Key: join(key, name), Message: "is not a known key"})
			continue
		}
		faults = append(faults, typeFaults(join(key, name), val, field)...)
	}
	return faults
}

func mapFaults(key string, tree any, typ reflect.Type) []Fault {
	fields, ok := tree.(map[string]any)
	if !ok {
		return wrongType(key, tree, "an object")
	}
	var faults []Fault
	for name, val := range fields {
		if !validName(name) {
			faults = append(faults, Fault{Key: join(key, name), Message: "names have 1 to 64 letters, digits, dashes and underscores"})
		}
		faults = append(faults, typeFaults(join(key, name), val, typ.Elem())...)
	}
	return faults
}

const maxNameLength = 64

// validName reports whether a name is valid. Dots are not allowed because keys
// in faults and changes are dotted paths.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, ch := range name {
		letter := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9'
		if !letter && ch != '-' && ch != '_' {
			return false
		}
	}
	return true
}

func wrongType(key string, tree any, want string) []Fault {
	raw, err := json.Marshal(tree)
	const shown = 40
	if err != nil || len(raw) > shown {
		return []Fault{{Key: key, Message: "must be " + want}}
	}
	return []Fault{{Key: key, Message: fmt.Sprintf("%s is not %s", raw, want)}}
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}
