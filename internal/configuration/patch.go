package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
)

// Apply returns the document that the RFC 7386 merge patch makes of doc.
func Apply(doc Document, patch json.RawMessage) (Document, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return doc, fmt.Errorf("encode the configuration: %w", err)
	}
	var base, change any
	if err := json.Unmarshal(raw, &base); err != nil {
		return doc, fmt.Errorf("decode the configuration: %w", err)
	}
	if err := json.Unmarshal(patch, &change); err != nil {
		return doc, &InvalidError{Faults: []Fault{{Key: "patch", Message: "not valid JSON: " + err.Error()}}}
	}
	if _, ok := change.(map[string]any); !ok {
		return doc, &InvalidError{Faults: []Fault{{Key: "patch", Message: "must be a JSON object"}}}
	}
	merged, err := json.Marshal(merge(base, change))
	if err != nil {
		return doc, fmt.Errorf("encode the patched configuration: %w", err)
	}
	return Decode(merged)
}

func merge(base, change any) any {
	fields, ok := change.(map[string]any)
	if !ok {
		return change
	}
	out, ok := base.(map[string]any)
	if !ok {
		out = map[string]any{}
	}
	for key, val := range fields {
		if val == nil {
			delete(out, key)
			continue
		}
		out[key] = merge(out[key], val)
	}
	return out
}

// ChangedKeys returns the dotted keys whose values differ between the two
// documents, sorted.
func ChangedKeys(before, after Document) []string {
	var keys []string
	collect("", generic(before), generic(after), &keys)
	sort.Strings(keys)
	return keys
}

func generic(doc Document) any {
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil
	}
	var out any
	if err := json.Unmarshal(raw, &out); err != nil {
		return nil
	}
	return out
}

func collect(prefix string, before, after any, keys *[]string) {
	bm, bok := before.(map[string]any)
	am, aok := after.(map[string]any)
	if !bok || !aok {
		if !reflect.DeepEqual(before, after) {
			*keys = append(*keys, prefix)
		}
		return
	}
	union := map[string]bool{}
	for key := range bm {
		union[key] = true
	}
	for key := range am {
		union[key] = true
	}
	for key := range union {
		name := key
		if prefix != "" {
			name = prefix + "." + key
		}
		collect(name, bm[key], am[key], keys)
	}
}
