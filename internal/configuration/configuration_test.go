package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

func faultKeys(err error) string {
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		return fmt.Sprint(err)
	}
	var keys []string
	for _, ft := range invalid.Faults {
		keys = append(keys, ft.Key)
	}
	return strings.Join(keys, " ")
}

const limits = `"limits":{"max-tasks-per-job":540,"max-request-bytes":4194304,"max-queued-jobs":20000}`

// TestDecodeListsEveryFault guards against a validation that stops at the first
// fault, so that an operator needs one attempt per fault.
func TestDecodeListsEveryFault(t *testing.T) {
	for _, row := range []struct{ name, doc, want string }{
		{"valid", `{` + limits + `,"services":{"fitdesk":{"slots":8,"connections":64}}}`, "<nil>"},
		{"unknown keys", `{` + limits + `,"a":1,"services":{"s":{"slots":1,"connections":1,"b":2}}}`, "a services.s.b"},
		{"wrong types", `{` + limits + `,"services":{"s":{"slots":"8","connections":1.5}}}`, "services.s.connections services.s.slots"},
		{"types and bounds", `{` + limits + `,"services":{"s":{"slots":[],"connections":0}}}`, "services.s.connections services.s.slots"},
		{"number too large", `{` + limits + `,"teams":{"t":{"weight":99999999999999999999}}}`, "teams.t.weight"},
		{"name with a dot", `{` + limits + `,"teams":{"a.b":{}}}`, "teams.a.b"},
		{"case of keys", `{` + limits + `,"teams":{"t":{"Weight":1}}}`, "teams.t.Weight"},
		{"two values", `{` + limits + `} {}`, "document"},
		{"not JSON", `{`, "document"},
		{"no object", `7`, "limits.max-queued-jobs limits.max-request-bytes limits.max-tasks-per-job"},
	} {
		_, err := Decode([]byte(row.doc))
		got := strings.TrimSpace(faultKeys(err))
		if got != row.want {
			t.Errorf("%s: faults at %q, want %q", row.name, got, row.want)
		}
	}
}

// TestMergePatch guards against deviations from RFC 7386. The cases are from its
// appendix A, plus a number that a float64 cannot hold.
func TestMergePatch(t *testing.T) {
	for _, row := range []struct{ base, patch, want string }{
		{`{"a":"b"}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":"b"}`, `{"b":"c"}`, `{"a":"b","b":"c"}`},
		{`{"a":"b"}`, `{"a":null}`, `{}`},
		{`{"a":"b","b":"c"}`, `{"a":null}`, `{"b":"c"}`},
		{`{"a":["b"]}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":"c"}`, `{"a":["b"]}`, `{"a":["b"]}`},
		{`{"a":{"b":"c"}}`, `{"a":{"b":"d","c":null}}`, `{"a":{"b":"d"}}`},
		{`{"a":[{"b":"c"}]}`, `{"a":[1]}`, `{"a":[1]}`},
		{`{"e":null}`, `{"a":1}`, `{"a":1,"e":null}`},
		{`{}`, `{"a":{"bb":{"ccc":null}}}`, `{"a":{"bb":{}}}`},
		{`{"a":9007199254740993}`, `{"b":1}`, `{"a":9007199254740993,"b":1}`},
	} {
		base, _ := decodeTree([]byte(row.base))
		patch, _ := decodeTree([]byte(row.patch))
		got, _ := json.Marshal(merge(base, patch))
		if string(got) != row.want {
			t.Errorf("%s patched with %s: %s, want %s", row.base, row.patch, got, row.want)
		}
	}
}

// FuzzApply guards against patches that panic, that result in a document with
// values out of bounds, or that are not idempotent.
func FuzzApply(f *testing.F) {
	for _, seed := range []string{
		`{"services":{"fitdesk":{"slots":8,"connections":64}}}`,
		`{"services":null}`, `{"limits":null}`, `{"teams":{"a":{"weight":1e3}}}`, `[]`, `{"a":{"b":{"c":null}}}`, `{"teams":{"":{}}}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, patch string) {
		before := Default()
		before.Teams = map[ids.TeamID]Team{"opticians": {Weight: 2}}
		after, err := Apply(before, json.RawMessage(patch))
		if err != nil {
			return
		}
		if faults := after.Check(); len(faults) > 0 {
			t.Fatalf("accepted with faults %v", faults)
		}
		again, err := Apply(after, json.RawMessage(patch))
		if err != nil || len(Diff(after, again)) > 0 {
			t.Fatalf("applied again: %v, %v", Diff(after, again), err)
		}
	})
}

// FuzzDecode guards against documents that are accepted but change when they are
// stored and read again.
func FuzzDecode(f *testing.F) {
	f.Add(`{` + limits + `}`)
	f.Add(`{` + limits + `,"teams":{"a":{"weight":1,"processors":0.5}}}`)
	f.Add(`null`)
	f.Fuzz(func(t *testing.T, raw string) {
		doc, err := Decode([]byte(raw))
		if err != nil {
			return
		}
		stored, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(stored)
		if err != nil || len(Diff(doc, back)) > 0 {
			t.Fatalf("read back as %+v, stored %+v: %v", back, doc, err)
		}
	})
}

// TestDiff guards against changes that are missing from the diff shown to an
// operator.
func TestDiff(t *testing.T) {
	before, after := Default(), Default()
	after.Services = map[ids.ServiceName]Service{"fitdesk": {Slots: 8, Connections: 64}}
	after.Limits.MaxQueuedJobs = 7
	var got []string
	for _, ch := range Diff(before, after) {
		got = append(got, ch.String())
	}
	want := []string{"limits.max-queued-jobs: 20000 -> 7", `services: absent -> {"fitdesk":{"connections":64,"slots":8}}`}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
