package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/rattanwall/rattanwall/internal/cluster"
	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/model"
)

// maxPatchAttempts limits how often a change of one service or watch is retried
// against a later version after concurrent changes of other resources.
const maxPatchAttempts = 5

func (a *API) listServices(_ context.Context, _ *call) (any, error) {
	return orEmpty(a.node.Keeper().Current().Document.Services), nil
}

func (a *API) listWatches(_ context.Context, _ *call) (any, error) {
	return orEmpty(a.node.Keeper().Current().Document.Watches), nil
}

func orEmpty[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return m
}

func (a *API) changeService(ctx context.Context, c *call) (any, error) {
	team := func(d config.Document, name string) (string, bool) {
		s, ok := d.Services[name]
		return s.Team, ok
	}
	return changeResource(ctx, a, c, "services", team, func(s config.Service) string { return s.Team })
}

func (a *API) changeWatch(ctx context.Context, c *call) (any, error) {
	team := func(d config.Document, name string) (string, bool) {
		w, ok := d.Watches[name]
		return w.Team, ok
	}
	return changeResource(ctx, a, c, "watches", team, func(w config.Watch) string { return w.Team })
}

// changeResource sets or deletes one service or watch of the document. A team may
// change only its own. With If-Match, the change is tried against that version only.
func changeResource[V any](ctx context.Context, a *API, c *call, section string, ownerOf func(config.Document, string) (string, bool), teamOf func(V) string) (any, error) {
	name := c.PathValue("name")
	var value any
	if c.Method != http.MethodDelete {
		var v V
		if err := c.decodeBody(&v); err != nil {
			return nil, err
		}
		if err := c.requireTeam(teamOf(v)); err != nil {
			return nil, err
		}
		value = v
	}
	for attempt := 1; ; attempt++ {
		current := a.node.Keeper().Current()
		owner, exists := ownerOf(current.Document, name)
		if !exists && value == nil {
			return nil, errkind.New(errkind.NotFound, "no "+strings.TrimSuffix(section, "s")+" "+name, nil)
		}
		if exists {
			if err := c.requireTeam(owner); err != nil {
				return nil, err
			}
		}
		baseVersion := current.Head.Version
		if c.Header.Get("If-Match") != "" {
			var err error
			if baseVersion, err = c.baseVersion(); err != nil {
				return nil, err
			}
		}
		patch, err := replacementPatch(current.Head, section, name, value)
		if err != nil {
			return nil, err
		}
		resp, err := a.patch(ctx, c, baseVersion, patch)
		retry := errkind.Is(err, errkind.VersionConflict) && c.Header.Get("If-Match") == "" && attempt < maxPatchAttempts
		if !retry {
			return resp, err
		}
	}
}

// replacementPatch returns the merge patch that replaces section.name by value, or
// deletes it if value is nil. A merge patch keeps fields that it does not mention, so
// old fields that the new value lacks are set to null.
func replacementPatch(head config.Head, section, name string, value any) (json.RawMessage, error) {
	if value == nil {
		return json.Marshal(map[string]any{section: map[string]any{name: nil}})
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	fields := map[string]any{}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	var old map[string]map[string]json.RawMessage
	_ = json.Unmarshal(head.Document, &old)
	var oldFields map[string]any
	_ = json.Unmarshal(old[section][name], &oldFields)
	for field := range oldFields {
		if _, ok := fields[field]; !ok {
			fields[field] = nil
		}
	}
	return json.Marshal(map[string]any{section: map[string]any{name: fields}})
}

// TeamInfo describes a team without its credential.
type TeamInfo struct {
	Name        string          `json:"name"`
	Weight      float64         `json:"weight"`
	Quota       model.Resources `json:"quota"`
	MaxInFlight int64           `json:"max_in_flight,omitempty"`
}

func (a *API) listTeams(_ context.Context, c *call) (any, error) {
	teams := []TeamInfo{}
	for name, t := range a.node.Keeper().Current().Document.Teams {
		if c.requireTeam(name) == nil {
			teams = append(teams, TeamInfo{Name: name, Weight: t.Weight, Quota: t.Quota, MaxInFlight: t.MaxInFlight})
		}
	}
	return teams, nil
}

func (a *API) submitJob(ctx context.Context, c *call) (any, error) {
	team := c.PathValue("team")
	if err := c.requireTeam(team); err != nil {
		return nil, err
	}
	if _, ok := a.node.Keeper().Current().Document.Teams[team]; !ok {
		return nil, errkind.New(errkind.NotFound, "no team "+team, nil)
	}
	var spec model.JobSpec
	if err := c.decodeBody(&spec); err != nil {
		return nil, err
	}
	if spec.Team == "" {
		spec.Team = team
	}
	if spec.Team != team {
		return nil, errkind.New(errkind.InvalidRequest, "team: leave it out or give "+team, nil)
	}
	if fault := spec.Validate(); fault != "" {
		return nil, errkind.New(errkind.InvalidRequest, fault, nil)
	}
	if _, err := a.node.Cluster().Job(ctx, team, cluster.VerbSubmit, spec); err != nil {
		return nil, err
	}
	return map[string]string{"id": spec.ID, "team": team}, nil
}

func (a *API) listJobs(ctx context.Context, c *call) (any, error) {
	team := c.PathValue("team")
	if err := c.requireTeam(team); err != nil {
		return nil, err
	}
	return a.node.Cluster().Job(ctx, team, cluster.VerbList, team)
}

func (a *API) getJob(ctx context.Context, c *call) (any, error) {
	team := c.PathValue("team")
	if err := c.requireTeam(team); err != nil {
		return nil, err
	}
	return a.node.Cluster().Job(ctx, team, cluster.VerbGet, team+"/"+c.PathValue("id"))
}

func (a *API) cancelJob(ctx context.Context, c *call) (any, error) {
	team := c.PathValue("team")
	if err := c.requireTeam(team); err != nil {
		return nil, err
	}
	if _, err := a.node.Cluster().Job(ctx, team, cluster.VerbCancel, team+"/"+c.PathValue("id")); err != nil {
		return nil, err
	}
	return map[string]string{"id": c.PathValue("id"), "state": "cancelled"}, nil
}

// drainVM marks a VM for draining or removes the mark.
func (a *API) drainVM(ctx context.Context, c *call) (any, error) {
	if err := c.requireOperator(); err != nil {
		return nil, err
	}
	var body struct {
		Drained bool `json:"drained"`
	}
	if err := c.decodeBody(&body); err != nil {
		return nil, err
	}
	var value any
	if body.Drained {
		value = true
	}
	patch, err := json.Marshal(map[string]any{"drained_vms": map[string]any{c.PathValue("name"): value}})
	if err != nil {
		return nil, err
	}
	return a.patch(ctx, c, a.node.Keeper().Current().Head.Version, patch)
}
