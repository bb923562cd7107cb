package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/oleanderwall/oleanderwall/internal/caller"
	"github.com/oleanderwall/oleanderwall/internal/job"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
)

const defaultEntry = "http://127.0.0.1:8080"

// readDocument reads a YAML or JSON file and returns it as JSON. The name "-"
// stands for standard input.
func readDocument(file string, st Streams) (json.RawMessage, error) {
	var raw []byte
	var err error
	if file == "-" {
		raw, err = io.ReadAll(st.In)
	} else {
		raw, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, fmt.Errorf("read the file: %w", err)
	}
	out, err := yaml.YAMLToJSON(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: not valid YAML or JSON: %w", file, err)
	}
	return out, nil
}

func runJobSubmit(ctx context.Context, args []string, st Streams) error {
	fs := newFlagSet("job submit", st)
	base := fs.String("entry", defaultEntry, "URL of an entry for callers")
	file := fs.String("file", "", "YAML or JSON file with the job, - for standard input")
	wait := fs.Duration("wait", 30*time.Second, "how long to wait for the answer")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if err := requireFlag("file", *file); err != nil {
		return err
	}
	raw, err := readDocument(*file, st)
	if err != nil {
		return err
	}
	status, err := jsonhttp.Call[json.RawMessage, job.Status](ctx, httpClient(), http.MethodPost, *base+"/v1/jobs?wait="+wait.String(), raw)
	if err != nil {
		return err
	}
	return printStatus(st, status)
}

func runJobGet(ctx context.Context, args []string, st Streams) error {
	fs := newFlagSet("job get", st)
	base := fs.String("entry", defaultEntry, "URL of an entry for callers")
	id := fs.String("id", "", "id of the job")
	wait := fs.Duration("wait", 0, "how long to wait for the answer")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if err := requireFlag("id", *id); err != nil {
		return err
	}
	status, err := jsonhttp.Call[jsonhttp.None, job.Status](ctx, httpClient(), http.MethodGet, *base+"/v1/jobs/"+url.PathEscape(*id)+"?wait="+wait.String(), jsonhttp.None{})
	if err != nil {
		return err
	}
	return printStatus(st, status)
}

func runJobCancel(ctx context.Context, args []string, st Streams) error {
	fs := newFlagSet("job cancel", st)
	base := fs.String("entry", defaultEntry, "URL of an entry for callers")
	id := fs.String("id", "", "id of the job")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if err := requireFlag("id", *id); err != nil {
		return err
	}
	status, err := jsonhttp.Call[jsonhttp.None, job.Status](ctx, httpClient(), http.MethodDelete, *base+"/v1/jobs/"+url.PathEscape(*id), jsonhttp.None{})
	if err != nil {
		return err
	}
	if status.Reason != job.ReasonCancelled {
		_ = printJSON(st.Out, status)
		return fmt.Errorf("job %s was decided as %s before the cancellation", status.ID, status.State)
	}
	return printJSON(st.Out, status)
}

func printStatus(st Streams, status job.Status) error {
	if err := printJSON(st.Out, status); err != nil {
		return err
	}
	if status.State == job.StateFailed {
		return fmt.Errorf("job %s failed; the answer names the failing tasks", status.ID)
	}
	return nil
}

func printJSON(out io.Writer, val any) error {
	raw, err := json.MarshalIndent(val, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the answer: %w", err)
	}
	_, err = fmt.Fprintln(out, string(raw))
	return err
}

func runRequest(ctx context.Context, args []string, st Streams) error {
	fs := newFlagSet("request", st)
	base := fs.String("entry", defaultEntry, "URL of an entry for callers")
	service := fs.String("service", "", "name of the service")
	body := fs.String("body", "", "body of the request")
	team := fs.String("team", "", "team on whose behalf the request runs")
	kind := fs.String("kind", "", "kind of request")
	id := fs.String("id", "", "id of the request")
	repeatable := fs.Bool("repeatable", false, "the request may run more than once")
	deadline := fs.Duration("deadline", 0, "how long the caller waits; 0 for the default of the service")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if err := requireFlag("service", *service); err != nil {
		return err
	}
	addr := *base + "/v1/services/" + url.PathEscape(*service) + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, addr, bytes.NewReader([]byte(*body)))
	if err != nil {
		return fmt.Errorf("build the request: %w", err)
	}
	for key, val := range map[string]string{
		caller.HeaderTeam:       *team,
		caller.HeaderKind:       *kind,
		caller.HeaderRequestID:  *id,
		caller.HeaderRepeatable: strconv.FormatBool(*repeatable),
	} {
		if val != "" {
			req.Header.Set(key, val)
		}
	}
	if *deadline > 0 {
		req.Header.Set(caller.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	return sendRequest(req, st)
}

func sendRequest(req *http.Request, st Streams) error {
	rep, err := httpClient().Do(req)
	if err != nil {
		return fmt.Errorf("send the request: %w", err)
	}
	defer rep.Body.Close()
	if _, err := io.Copy(st.Out, rep.Body); err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	fmt.Fprintln(st.Out)
	if kind := rep.Header.Get(outcome.Header); kind != string(outcome.Answered) {
		return fmt.Errorf("the outcome is %s (HTTP status %d)", kind, rep.StatusCode)
	}
	return nil
}
