package experiment

import (
	"embed"
	"path"
	"strings"
)

//go:embed scenarios/*.jsonc
var library embed.FS

const extension = ".jsonc"

// Scenarios returns the names of the scenarios embedded in the program.
func Scenarios() []string {
	entries, _ := library.ReadDir("scenarios")
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), extension))
	}
	return names
}

// Find returns the embedded scenario of that name, or else loads the file at that path.
func Find(name string) (Scenario, error) {
	if raw, err := library.ReadFile(path.Join("scenarios", name+extension)); err == nil {
		return Parse(name+extension, raw)
	}
	return Load(name)
}
