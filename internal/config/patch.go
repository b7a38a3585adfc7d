package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/rattanwall/rattanwall/internal/errkind"
	"github.com/rattanwall/rattanwall/internal/hosting"
)

// Patch is a requested change of the configuration.
type Patch struct {
	// BaseVersion is the version that the patch was made against.
	BaseVersion int64
	// ID is chosen by the sender; a patch with the ID and content of an earlier one is
	// a repeat of it.
	ID     string
	Author string
	// Body is a JSON merge patch (RFC 7396).
	Body json.RawMessage
}

// Decode decodes a document strictly: an unknown field is an error.
func Decode(raw json.RawMessage) (Document, error) {
	var d Document
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return d, errkind.New(errkind.InvalidRequest, "configuration: "+strings.TrimPrefix(err.Error(), "json: "), nil)
	}
	return d, nil
}

// FindChange returns the change made by an earlier patch with the given ID, if the
// head still keeps it.
func (h Head) FindChange(patchID string) (Change, bool) {
	for _, c := range h.Changes {
		if patchID != "" && c.PatchID == patchID {
			return c, true
		}
	}
	return Change{}, false
}

// Apply returns the head with p applied, or the reason for refusing p. It has no side
// effects; at is the time recorded in the change. If h already contains the patch, h
// is returned unchanged.
func (h Head) Apply(p Patch, at time.Time) (Head, error) {
	if c, ok := h.FindChange(p.ID); ok {
		if !jsonpatch.Equal(c.Patch, p.Body) {
			return h, errkind.New(errkind.AlreadyExists, fmt.Sprintf("patch id %q was used for another patch, which made version %d", p.ID, c.Version), nil)
		}
		return h, nil
	}
	if p.BaseVersion != h.Version {
		return h, errkind.New(errkind.VersionConflict, h.conflictMessage(p.BaseVersion), nil)
	}
	if !json.Valid(p.Body) || len(p.Body) == 0 || bytes.TrimSpace(p.Body)[0] != '{' {
		return h, errkind.New(errkind.InvalidRequest, "the patch must be a JSON object", nil)
	}
	next, err := jsonpatch.MergePatch(h.document(), p.Body)
	if err != nil {
		return h, errkind.New(errkind.InvalidRequest, "the patch is no JSON merge patch", err)
	}
	d, err := Decode(next)
	if err != nil {
		return h, err
	}
	if faults := d.Validate(); len(faults) > 0 {
		return h, errkind.New(errkind.InvalidRequest, strings.Join(faults, "; "), nil)
	}
	reverse, err := jsonpatch.CreateMergePatch(next, h.document())
	if err != nil {
		return h, errkind.New(errkind.Internal, "no reverse of the patch", err)
	}
	change := Change{
		Version: h.Version + 1, PatchID: p.ID, Author: p.Author, AtUnixMS: at.UnixMilli(),
		Patch: p.Body, Reverse: reverse,
	}
	changes := append(append([]Change(nil), h.Changes...), change)
	if len(changes) > maxChanges {
		changes = changes[len(changes)-maxChanges:]
	}
	result := Head{Version: change.Version, Document: next, Changes: changes}
	return result, result.checkSize()
}

// checkSize rejects a head that is larger than half of the store's limit, so that a
// head that has reached this limit can still be stored with another patch that reduces
// its size.
func (h Head) checkSize() error {
	raw, err := json.Marshal(h)
	if err != nil {
		return errkind.New(errkind.Internal, "encode configuration", err)
	}
	if len(raw) > hosting.MaxValueBytes/2 {
		return errkind.New(errkind.InvalidRequest, fmt.Sprintf("the configuration would have %d bytes, the limit is %d; remove unused teams or services", len(raw), hosting.MaxValueBytes/2), nil)
	}
	return nil
}

// conflictMessage describes a version conflict and names the author of the first
// change that the patch missed.
func (h Head) conflictMessage(baseVersion int64) string {
	message := fmt.Sprintf("the patch is against version %d, the configuration is at version %d", baseVersion, h.Version)
	for _, c := range h.Changes {
		if c.Version == baseVersion+1 {
			message += fmt.Sprintf(" (version %d was made by %s)", c.Version, c.Author)
		}
	}
	return message
}

// RevertTo returns the patch that restores the document of an older version.
func (h Head) RevertTo(version int64) (json.RawMessage, error) {
	oldest := h.Version
	if len(h.Changes) > 0 {
		oldest = h.Changes[0].Version - 1
	}
	if version < oldest || version > h.Version {
		return nil, errkind.New(errkind.NotFound, fmt.Sprintf("version %d is not kept; versions %d to %d are", version, oldest, h.Version), nil)
	}
	doc := h.document()
	for i := len(h.Changes) - 1; i >= 0 && h.Changes[i].Version > version; i-- {
		var err error
		if doc, err = jsonpatch.MergePatch(doc, h.Changes[i].Reverse); err != nil {
			return nil, errkind.New(errkind.Internal, "undo a change", err)
		}
	}
	patch, err := jsonpatch.CreateMergePatch(h.document(), doc)
	if err != nil {
		return nil, errkind.New(errkind.Internal, "compare two versions", err)
	}
	return patch, nil
}

func (h Head) document() []byte {
	if len(h.Document) == 0 {
		return []byte("{}")
	}
	return h.Document
}
