package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/google/uuid"

	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/operator"
)

const defaultOperators = "http://127.0.0.1:8081"

// runGet runs a command that sends one GET request and prints the answer.
func runGet[Rep any](ctx context.Context, name, path string, args []string, st Streams) error {
	fs := newFlagSet(name, st)
	base := fs.String("entry", defaultOperators, "URL of an entry for operators")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	rep, err := jsonhttp.Call[jsonhttp.None, Rep](ctx, httpClient(), http.MethodGet, *base+path, jsonhttp.None{})
	if err != nil {
		return err
	}
	return printJSON(st.Out, rep)
}

func runConfigGet(ctx context.Context, args []string, st Streams) error {
	return runGet[configuration.Version](ctx, "config get", "/v1/configuration", args, st)
}

func runConfigHistory(ctx context.Context, args []string, st Streams) error {
	return runGet[[]configuration.Record](ctx, "config history", "/v1/configuration/history", args, st)
}

// runConfigDiff prints one line for each key that differs.
func runConfigDiff(ctx context.Context, args []string, st Streams) error {
	fs := newFlagSet("config diff", st)
	base := fs.String("entry", defaultOperators, "URL of an entry for operators")
	from := fs.Int64("from", -1, "number of the older version")
	to := fs.Int64("to", -1, "number of the newer version; the one in force when left out")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if *from < 0 {
		return &usageError{message: "flag -from is required; config history lists the numbers"}
	}
	before, err := fetchDocument(ctx, *base, *from)
	if err != nil {
		return err
	}
	after, err := fetchDocument(ctx, *base, *to)
	if err != nil {
		return err
	}
	for _, ch := range configuration.Diff(before, after) {
		fmt.Fprintln(st.Out, ch)
	}
	return nil
}

// fetchDocument returns the document of a version. A negative number stands for
// the version in force.
func fetchDocument(ctx context.Context, base string, number int64) (configuration.Document, error) {
	path := "/v1/configuration"
	if number >= 0 {
		path = fmt.Sprintf("/v1/configuration/versions/%d", number)
	}
	version, err := jsonhttp.Call[jsonhttp.None, configuration.Version](ctx, httpClient(), http.MethodGet, base+path, jsonhttp.None{})
	return version.Document, err
}

func runStatus(ctx context.Context, args []string, st Streams) error {
	fs := newFlagSet("status", st)
	base := fs.String("entry", defaultOperators, "URL of an entry for operators")
	all := fs.Bool("all", false, "list all entries that this entry knows, one per line")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	rep, err := jsonhttp.Call[jsonhttp.None, operator.Status](ctx, httpClient(), http.MethodGet, *base+"/v1/status", jsonhttp.None{})
	if err != nil {
		return err
	}
	if *all {
		return printMembers(st, rep)
	}
	return printJSON(st.Out, rep)
}

// printMembers prints a table of the entries, the answering entry first. An
// entry lags when its configuration number is below the highest one.
func printMembers(st Streams, rep operator.Status) error {
	highest := rep.Configuration
	for _, mem := range rep.Members {
		highest = max(highest, mem.Configuration)
	}
	own := operator.Member{
		EntryID:          rep.EntryID,
		Incarnation:      rep.Incarnation,
		AvailabilityZone: rep.AvailabilityZone,
		State:            "self",
		Configuration:    rep.Configuration,
	}
	tw := tabwriter.NewWriter(st.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "ENTRY\tZONE\tSTATE\tNUMBER\tLAGS\tLAST HEARD")
	for _, mem := range append([]operator.Member{own}, rep.Members...) {
		if mem.State == operator.StateGone {
			fmt.Fprintf(tw, "%s\t-\t%s\t-\t-\t%s\n", mem.EntryID, mem.State, mem.GoneReason)
			continue
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%t\t%dms\n", mem.EntryID, mem.AvailabilityZone, mem.State,
			mem.Configuration, mem.Configuration < highest, mem.LastHeardMillis)
	}
	return tw.Flush()
}

func runDrain(ctx context.Context, args []string, st Streams) error {
	fs := newFlagSet("drain", st)
	base := fs.String("entry", defaultOperators, "URL of an entry for operators")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	rep, err := jsonhttp.Call[jsonhttp.None, operator.Status](ctx, httpClient(), http.MethodPost, *base+"/v1/drain", jsonhttp.None{})
	if err != nil {
		return err
	}
	return printJSON(st.Out, rep)
}

func runConfigPatch(ctx context.Context, args []string, st Streams) error {
	fs := newFlagSet("config patch", st)
	base := fs.String("entry", defaultOperators, "URL of an entry for operators")
	file := fs.String("file", "", "YAML or JSON file with the merge patch, - for standard input")
	lastSeen := fs.Int64("last-seen", -1, "number of the version that the patch is stated against")
	author := fs.String("author", "", "who makes the change")
	id := fs.String("patch-id", "", "id of the patch; the same id sent again applies once")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if err := requireFlag("file", *file); err != nil {
		return err
	}
	if *lastSeen < 0 {
		return &usageError{message: "flag -last-seen is required; config get shows the present number"}
	}
	raw, err := readDocument(*file, st)
	if err != nil {
		return err
	}
	return submitPatch(ctx, *base, st, configuration.Patch{
		LastSeen: configuration.Number(*lastSeen),
		PatchID:  *id,
		Author:   *author,
		Patch:    raw,
	})
}

func submitPatch(ctx context.Context, base string, st Streams, patch configuration.Patch) error {
	if patch.PatchID == "" {
		patch.PatchID = uuid.NewString()
		fmt.Fprintf(st.Err, "patch-id=%s\n", patch.PatchID)
	}
	rep, err := jsonhttp.Call[configuration.Patch, operator.Accepted](ctx, httpClient(), http.MethodPatch, base+"/v1/configuration", patch)
	if err != nil {
		return err
	}
	return printJSON(st.Out, rep)
}

func runServiceCreate(ctx context.Context, args []string, st Streams) error {
	fs := newFlagSet("service create", st)
	base := fs.String("entry", defaultOperators, "URL of an entry for operators")
	name := fs.String("name", "", "name of the service")
	slots := fs.Int("slots", 8, "requests that one target runs at the same time")
	connections := fs.Int("connections", 64, "connections that one target accepts")
	author := fs.String("author", "", "who makes the change")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if err := requireFlag("name", *name); err != nil {
		return err
	}
	present, err := jsonhttp.Call[jsonhttp.None, configuration.Version](ctx, httpClient(), http.MethodGet, *base+"/v1/configuration", jsonhttp.None{})
	if err != nil {
		return err
	}
	if _, ok := present.Document.Services[ids.ServiceName(*name)]; ok {
		return fmt.Errorf("service %q exists already; change it with config patch", *name)
	}
	raw, err := json.Marshal(map[string]any{
		"services": map[string]configuration.Service{*name: {Slots: *slots, Connections: *connections}},
	})
	if err != nil {
		return fmt.Errorf("encode the patch: %w", err)
	}
	return submitPatch(ctx, *base, st, configuration.Patch{LastSeen: present.Number, Author: *author, Patch: raw})
}
