package scheduler

import (
	"fmt"
	"os"

	"github.com/rattanwall/rattanwall/internal/settings"
)

// ReadPolicy returns DefaultPolicy with the fields that the JSON document raw sets; comments and
// trailing commas are allowed. name is the document's name in errors, which name the faulty field
// and the fix.
func ReadPolicy(name string, raw []byte) (Policy, error) {
	p := DefaultPolicy()
	if _, err := settings.Read(name, raw, &p); err != nil {
		return p, err
	}
	if err := p.Validate(); err != nil {
		return p, fmt.Errorf("%s: %w", name, err)
	}
	return p, nil
}

// LoadPolicy reads a policy file; see ReadPolicy.
func LoadPolicy(path string) (Policy, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Policy{}, fmt.Errorf("policy: %w; name the file with --policy", err)
	}
	return ReadPolicy(path, raw)
}
