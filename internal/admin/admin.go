// Package admin implements the administration API, through which operators and teams
// change the configuration and submit jobs. Every node serves it; each change is a
// conditional write to the platform's store.
package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanwall/rattanwall/internal/cluster"
	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/model"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 256 << 10

const (
	// callTimeout limits one administration call.
	callTimeout = 8 * time.Second
	// waitPollInterval is the interval between checks of the versions in use.
	waitPollInterval = 100 * time.Millisecond
	maxWaitTimeout   = 60 * time.Second
)

// Node gives the API access to the state of the node that serves it.
type Node interface {
	Keeper() *config.Keeper
	Cluster() *cluster.Cluster
	// ConfigVersions returns the configuration version in use at each live node, as
	// last reported; 0 for a node that has not reported.
	ConfigVersions() map[string]int64
	VMs() []VMInfo
	Status() any
	Dump() any
}

// VMInfo describes a VM and its owner.
type VMInfo struct {
	model.VM
	Owner   string `json:"owner"`
	Drained bool   `json:"drained,omitempty"`
}

// API is the HTTP handler of the administration API.
type API struct {
	node Node
	log  *logrus.Entry
	mux  *http.ServeMux
}

// call is a request with the identity of its sender.
type call struct {
	*http.Request
	identity config.Identity
	w        http.ResponseWriter
}

// New returns the API of a node.
func New(node Node, log *logrus.Entry) *API {
	a := &API{node: node, log: log, mux: http.NewServeMux()}
	a.handle("GET /v1/config", a.getConfig)
	a.handle("PATCH /v1/config", a.patchConfig)
	a.handle("GET /v1/config/history", a.history)
	a.handle("GET /v1/config/wait", a.wait)
	a.handle("POST /v1/config/revert", a.revert)
	a.handle("GET /v1/services", a.listServices)
	a.handle("PUT /v1/services/{name}", a.changeService)
	a.handle("DELETE /v1/services/{name}", a.changeService)
	a.handle("GET /v1/watches", a.listWatches)
	a.handle("PUT /v1/watches/{name}", a.changeWatch)
	a.handle("DELETE /v1/watches/{name}", a.changeWatch)
	a.handle("GET /v1/teams", a.listTeams)
	a.handle("GET /v1/teams/{team}/jobs", a.listJobs)
	a.handle("POST /v1/teams/{team}/jobs", a.submitJob)
	a.handle("GET /v1/teams/{team}/jobs/{id}", a.getJob)
	a.handle("POST /v1/teams/{team}/jobs/{id}/cancel", a.cancelJob)
	a.handle("GET /v1/vms", func(context.Context, *call) (any, error) { return node.VMs(), nil })
	a.handle("PUT /v1/vms/{name}/drain", a.drainVM)
	a.handle("GET /v1/status", func(context.Context, *call) (any, error) { return node.Status(), nil })
	a.handle("GET /v1/dump", a.dump)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// ErrorBody is the response body of a failed call.
type ErrorBody struct {
	Error   errkind.Kind    `json:"error"`
	Outcome errkind.Outcome `json:"outcome"`
	Message string          `json:"message,omitempty"`
	Hint    string          `json:"hint"`
}

func (a *API) handle(pattern string, f func(context.Context, *call) (any, error)) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		identity, ok := a.node.Keeper().Current().Identify(token)
		if !ok {
			writeError(w, errkind.New(errkind.Unauthorized, "", nil))
			return
		}
		ctx := r.Context()
		if !strings.HasSuffix(pattern, "/wait") {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, callTimeout)
			defer cancel()
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		resp, err := f(ctx, &call{Request: r, identity: identity, w: w})
		if r.Method != http.MethodGet {
			a.log.WithError(err).WithFields(logrus.Fields{"who": identity.Name, "call": r.Method + " " + r.URL.Path}).Info("administration call")
		}
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, resp)
	})
}

func writeError(w http.ResponseWriter, err error) {
	e := errkind.From(err)
	row := e.Answer()
	if row.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((row.RetryAfter+time.Second-1)/time.Second)))
	}
	writeJSON(w, row.Status, ErrorBody{Error: e.Kind, Outcome: row.Outcome, Message: e.Message, Hint: row.Hint})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// decodeBody decodes the request's JSON body; an unknown field is an error.
func (c *call) decodeBody(into any) error {
	dec := json.NewDecoder(c.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return errkind.New(errkind.InvalidRequest, strings.TrimPrefix(err.Error(), "json: "), nil)
	}
	return nil
}

// requireOperator returns an error unless the caller is an operator.
func (c *call) requireOperator() error {
	if !c.identity.IsOperator {
		return errkind.New(errkind.Forbidden, "only an operator may do this", nil)
	}
	return nil
}

// requireTeam returns an error unless the caller is an operator or the team itself.
func (c *call) requireTeam(name string) error {
	if !c.identity.IsOperator && c.identity.Name != name {
		return errkind.New(errkind.Forbidden, "this is team "+name+"'s", nil)
	}
	return nil
}

// dump returns the node's whole state without the hashes of credentials.
func (a *API) dump(_ context.Context, c *call) (any, error) {
	if err := c.requireOperator(); err != nil {
		return nil, err
	}
	return a.node.Dump(), nil
}

// ConfigResponse holds the configuration and its version.
type ConfigResponse struct {
	Version  int64           `json:"version"`
	Document json.RawMessage `json:"document"`
}

func (a *API) getConfig(_ context.Context, c *call) (any, error) {
	if err := c.requireOperator(); err != nil {
		return nil, err
	}
	head := a.node.Keeper().Current().Head
	setVersion(c.w, head.Version)
	return ConfigResponse{Version: head.Version, Document: head.Document}, nil
}

func setVersion(w http.ResponseWriter, version int64) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(version, 10)))
}

// baseVersion returns the version that a patch was made against, from the If-Match
// header.
func (c *call) baseVersion() (int64, error) {
	raw := c.Header.Get("If-Match")
	if raw == "" {
		return 0, errkind.New(errkind.VersionRequired, "", nil)
	}
	version, err := strconv.ParseInt(strings.Trim(raw, `"`), 10, 64)
	if err != nil {
		return 0, errkind.New(errkind.InvalidRequest, "If-Match: give a version's number", nil)
	}
	return version, nil
}

// PatchResponse holds the version that a patch created.
type PatchResponse struct {
	Version int64 `json:"version"`
}

func (a *API) patchConfig(ctx context.Context, c *call) (any, error) {
	if err := c.requireOperator(); err != nil {
		return nil, err
	}
	baseVersion, err := c.baseVersion()
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(c.Body)
	if err != nil {
		return nil, errkind.New(errkind.BodyTooLarge, "", err)
	}
	return a.patch(ctx, c, baseVersion, raw)
}

func (a *API) patch(ctx context.Context, c *call, baseVersion int64, body json.RawMessage) (any, error) {
	id := c.Header.Get("Idempotency-Key")
	head, err := a.node.Keeper().Patch(ctx, config.Patch{BaseVersion: baseVersion, ID: id, Author: c.identity.Name, Body: body})
	if err != nil {
		return nil, err
	}
	version := head.Version
	if change, ok := head.FindChange(id); ok {
		version = change.Version
	}
	setVersion(c.w, version)
	return PatchResponse{Version: version}, nil
}

func (a *API) history(_ context.Context, c *call) (any, error) {
	if err := c.requireOperator(); err != nil {
		return nil, err
	}
	changes := a.node.Keeper().Current().Head.Changes
	if changes == nil {
		changes = []config.Change{}
	}
	return changes, nil
}

// revert creates a new version with the document of an older one.
func (a *API) revert(ctx context.Context, c *call) (any, error) {
	if err := c.requireOperator(); err != nil {
		return nil, err
	}
	var body struct {
		Version int64 `json:"version"`
	}
	if err := c.decodeBody(&body); err != nil {
		return nil, err
	}
	head := a.node.Keeper().Current().Head
	patch, err := head.RevertTo(body.Version)
	if err != nil {
		return nil, err
	}
	return a.patch(ctx, c, head.Version, patch)
}

// WaitResponse holds the version in use at each node and whether the requested one is
// in force everywhere.
type WaitResponse struct {
	Version int64            `json:"version"`
	InForce bool             `json:"in_force"`
	Nodes   map[string]int64 `json:"nodes"`
}

// wait returns when every live node uses the version or a later one, or at the
// timeout.
func (a *API) wait(ctx context.Context, c *call) (any, error) {
	version, err := strconv.ParseInt(c.FormValue("version"), 10, 64)
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "version: give a number", nil)
	}
	limit := 10 * time.Second
	if ms, err := strconv.ParseInt(c.FormValue("timeout_ms"), 10, 64); err == nil {
		limit = min(time.Duration(ms)*time.Millisecond, maxWaitTimeout)
	}
	deadline := time.Now().Add(limit)
	for {
		a.node.Cluster().RefreshVersions(ctx, version)
		nodes := a.node.ConfigVersions()
		resp := WaitResponse{Version: version, InForce: true, Nodes: nodes}
		for _, v := range nodes {
			resp.InForce = resp.InForce && v >= version
		}
		if resp.InForce || time.Now().After(deadline) || ctx.Err() != nil {
			return resp, nil
		}
		time.Sleep(waitPollInterval)
	}
}
