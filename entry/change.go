package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/fleet"
	"skylarkbeam/setting"
)

const (
	// changeTimeout bounds the duration of a change to the accepted state.
	changeTimeout = 15 * time.Second
	// maxChangeBytes is the maximum size of a request body: the settings, and lists of drained names.
	maxChangeBytes = setting.MaxSettingsBytes + 1<<20
)

// Change is a request to change the accepted state.
type Change struct {
	// ID identifies the change. A request that is repeated with the same ID is applied only once.
	ID string `json:"id"`
	// BaseVersion is the version of the state that the change is based on.
	BaseVersion uint64          `json:"base"`
	Author      string          `json:"who"`
	Settings    json.RawMessage `json:"settings,omitempty"`
	Domains     []string        `json:"domains,omitempty"`
	Targets     []string        `json:"targets,omitempty"`
}

// ChangeResult is the response to a Change.
type ChangeResult struct {
	// Result is accepted, conflict, refused or undecided.
	Result  string `json:"result"`
	Version uint64 `json:"version,omitempty"`
	// Unconfirmed names the members that have not confirmed the version.
	Unconfirmed []string `json:"behind,omitempty"`
	Author      string   `json:"who,omitempty"`
	Summary     string   `json:"what,omitempty"`
	Reason      string   `json:"reason,omitempty"`
}

// Apply changes the accepted settings, like the command skylarkbeam apply.
func (e *Entry) Apply(ctx context.Context, c fleet.Change, settings []byte) fleet.Decision {
	return e.fleet.Apply(ctx, c, settings)
}

func (e *Entry) serveApply(req *restful.Request, resp *restful.Response) {
	e.serveChange(req, resp, func(ctx context.Context, c *Change) fleet.Decision {
		return e.Apply(ctx, c.fleetChange(), c.Settings)
	})
}

func (e *Entry) serveDrain(req *restful.Request, resp *restful.Response) {
	e.serveChange(req, resp, func(ctx context.Context, c *Change) fleet.Decision {
		if err := e.checkNames(c); err != nil {
			return &fleet.Refused{
				Reason: err.Error(),
			}
		}
		return e.fleet.Drain(ctx, c.fleetChange(), c.Domains, c.Targets)
	})
}

func (e *Entry) serveRestore(req *restful.Request, resp *restful.Response) {
	e.serveChange(req, resp, func(ctx context.Context, c *Change) fleet.Decision {
		return e.fleet.Restore(ctx, c.fleetChange(), c.Domains, c.Targets)
	})
}

func (c *Change) fleetChange() fleet.Change {
	return fleet.Change{
		ID:          c.ID,
		BaseVersion: c.BaseVersion,
		Who:         c.Author,
	}
}

// checkNames returns an error if a name is not in the settings, so that a misspelled name is not taken for a drain.
func (e *Entry) checkNames(c *Change) error {
	snap := e.snapshot.Load()
	if snap.settings == nil {
		return errors.New("no settings are in force")
	}
	for _, name := range c.Domains {
		if _, ok := snap.settings.Domains[name]; !ok {
			return errors.Newf("failure domain %q does not exist", name)
		}
	}
	for _, name := range c.Targets {
		if _, ok := snap.pools[name]; !ok {
			return errors.Newf("target %q does not exist", name)
		}
	}
	return nil
}

func (e *Entry) serveChange(
	req *restful.Request, resp *restful.Response, apply func(context.Context, *Change) fleet.Decision,
) {
	var c Change
	data, err := io.ReadAll(http.MaxBytesReader(resp, req.Request.Body, maxChangeBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(resp, fmt.Sprintf("the change has more than %d bytes", tooLarge.Limit),
			http.StatusRequestEntityTooLarge)
		return
	}
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err != nil || c.ID == "" || c.Author == "" {
		http.Error(resp, "a change needs a JSON body with id, base and who", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(req.Request.Context(), changeTimeout)
	defer cancel()
	result, status := changeResult(apply(ctx, &c))
	resp.Header().Set("Content-Type", restful.MIME_JSON)
	resp.WriteHeader(status)
	json.NewEncoder(resp).Encode(result)
}

// changeResult returns the JSON form of a decision and its HTTP status.
func changeResult(d fleet.Decision) (ChangeResult, int) {
	switch d := d.(type) {
	case *fleet.Accepted:
		return ChangeResult{
			Result:      "accepted",
			Version:     d.Version,
			Unconfirmed: d.Unconfirmed,
		}, http.StatusOK
	case *fleet.Conflict:
		return ChangeResult{
			Result:  "conflict",
			Version: d.Version,
			Author:  d.Who,
			Summary: d.What,
		}, http.StatusConflict
	case *fleet.Refused:
		return ChangeResult{
			Result: "refused",
			Reason: d.Reason,
		}, http.StatusUnprocessableEntity
	case *fleet.Undecided:
		return ChangeResult{
			Result: "undecided",
			Reason: "the platform has not told whether the change was made; send it again with the same id",
		}, http.StatusServiceUnavailable
	default:
		panic(errors.AssertionFailedf("unknown decision %T", d))
	}
}

// validateSettings checks settings before the fleet accepts them.
func validateSettings(data []byte) error {
	settings, err := setting.Parse(data)
	if err != nil {
		return errors.Wrap(err, "reading settings")
	}
	return settings.Validate().Err()
}
