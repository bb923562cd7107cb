package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
)

// Apply applies the RFC 7386 merge patch to doc and returns the validated result.
func Apply(doc Document, patch json.RawMessage) (Document, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return doc, fmt.Errorf("encode the configuration: %w", err)
	}
	base, err := decodeTree(raw)
	if err != nil {
		return doc, fmt.Errorf("decode the configuration: %w", err)
	}
	change, err := decodeTree(patch)
	if err != nil {
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

// Change is a key whose value differs between two documents. A value that is
// absent from a document is empty.
type Change struct {
	Key    string          `json:"key"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// String returns the change as "key: before -> after".
func (ch Change) String() string {
	show := func(raw json.RawMessage) string {
		if raw == nil {
			return "absent"
		}
		return string(raw)
	}
	return fmt.Sprintf("%s: %s -> %s", ch.Key, show(ch.Before), show(ch.After))
}

// Diff returns the changes between two documents, sorted by key. An object that
// is present in only one of them is one change.
func Diff(before, after Document) []Change {
	var changes []Change
	collectChanges("", toTree(before), toTree(after), &changes)
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// ChangedKeys returns the dotted keys whose values differ between the two
// documents, sorted.
func ChangedKeys(before, after Document) []string {
	changes := Diff(before, after)
	keys := make([]string, 0, len(changes))
	for _, ch := range changes {
		keys = append(keys, ch.Key)
	}
	return keys
}

func toTree(doc Document) any {
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil
	}
	tree, err := decodeTree(raw)
	if err != nil {
		return nil
	}
	return tree
}

func collectChanges(key string, before, after any, changes *[]Change) {
	bm, bok := before.(map[string]any)
	am, aok := after.(map[string]any)
	if !bok || !aok {
		if !reflect.DeepEqual(before, after) {
			*changes = append(*changes, Change{Key: key, Before: encode(before), After: encode(after)})
		}
		return
	}
	union := map[string]bool{}
	for name := range bm {
		union[name] = true
	}
	for name := range am {
		union[name] = true
	}
	for name := range union {
		collectChanges(join(key, name), bm[name], am[name], changes)
	}
}

func encode(tree any) json.RawMessage {
	if tree == nil {
		return nil
	}
	raw, err := json.Marshal(tree)
	if err != nil {
		return nil
	}
	return raw
}
