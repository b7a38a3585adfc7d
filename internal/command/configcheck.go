package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"github.com/rattanwall/rattanwall/internal/configcheck"
	"github.com/rattanwall/rattanwall/platform"
)

// configCheckOptions are the flags of "config check".
type configCheckOptions struct {
	against        string
	inForce        bool
	onPlatform     bool
	isPatch        bool
	version        int64
	hasVersion     bool
	failOnWarnings bool
}

func configCheck(c *client) *cobra.Command {
	var o configCheckOptions
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration before it is sent",
		Long: `Check a configuration before it is sent: errors, entries that can never match, limits
that contradict each other, and what differs from the version in force. FILE is a
document, what 'config get' printed, or with --patch a JSON merge patch; - is standard
input. With --platform it is the operator's configuration on the users' platform.
Nothing is sent.

Exit codes: 0 no errors, 1 errors (with --fail-on-warnings: or warnings), 2 the check
could not be made.`,
		Example: `  rattanwall config check first.jsonc
  rattanwall config check --patch patch.jsonc --in-force
  rattanwall config check --platform next.json --against current.json --json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.hasVersion = cmd.Flags().Changed("version")
			return o.run(cmd, c, args[0])
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.against, "against", "", "file with the configuration to compare with")
	flags.BoolVar(&o.inForce, "in-force", false, "compare with the version in force, read from a node's administration API")
	flags.BoolVar(&o.onPlatform, "platform", false, "FILE is the operator's configuration on the users' platform")
	flags.BoolVar(&o.isPatch, "patch", false, "FILE is a JSON merge patch against the configuration to compare with")
	flags.Int64Var(&o.version, "version", 0, "version that the patch is against, as for 'config patch'")
	flags.BoolVar(&o.failOnWarnings, "fail-on-warnings", false, "exit with 1 also if there are only warnings")
	return cmd
}

// errNotChecked is the reason why a check could not be made. It hides the kind of its cause, so
// that the exit code is the same whatever the reason.
type errNotChecked struct{ cause error }

func (e errNotChecked) Error() string { return "not checked: " + e.cause.Error() }

func (o *configCheckOptions) run(cmd *cobra.Command, c *client, file string) error {
	report, err := o.check(cmd, c, file)
	if err != nil {
		return errNotChecked{err}
	}
	var textErr error
	err = c.print(cmd, report, func() { textErr = report.WriteText(cmd.OutOrStdout()) })
	if err = errors.Join(err, textErr); err != nil {
		return errNotChecked{err}
	}
	if report.Errors > 0 || o.failOnWarnings && report.Warnings > 0 {
		return errFailed
	}
	return nil
}

// check makes the report. It returns an error only if the check could not be made.
func (o *configCheckOptions) check(cmd *cobra.Command, c *client, file string) (*configcheck.Report, error) {
	if err := o.validate(file); err != nil {
		return nil, err
	}
	raw, err := readFile(file, cmd.InOrStdin())
	if err != nil {
		return nil, err
	}
	if o.onPlatform {
		return o.checkOnPlatform(cmd, raw)
	}
	var base *versioned
	switch {
	case o.inForce:
		base, err = fetchInForce(cmd, c)
	case o.against != "":
		base, err = readBase(o.against, cmd.InOrStdin())
	}
	if err != nil {
		return nil, err
	}
	if o.hasVersion && base.version == nil {
		return nil, errors.New("the configuration to compare with tells no version to compare --version with: give what 'config get' printed")
	}
	return o.checkDocument(raw, base), nil
}

// validate finds flags that don't go together.
func (o *configCheckOptions) validate(file string) error {
	switch {
	case o.inForce && o.against != "":
		return errors.New("give --against or --in-force, not both")
	case file == "-" && o.against == "-":
		return errors.New("only one of the files can be standard input")
	case o.onPlatform && o.inForce:
		return errors.New("on the users' platform the version in force comes from its store: save it to a file and give --against FILE")
	case o.onPlatform && (o.isPatch || o.hasVersion):
		return errors.New("--patch and --version are for the product's own configuration")
	case o.isPatch && !o.inForce && o.against == "":
		return errors.New("a patch is checked with what it is applied to: give --in-force or --against FILE")
	case o.hasVersion && !o.isPatch:
		return errors.New("--version is the version that a patch is against: give --patch")
	}
	return nil
}

func (o *configCheckOptions) checkOnPlatform(cmd *cobra.Command, raw []byte) (*configcheck.Report, error) {
	if o.against == "" {
		return platform.CheckConfig(raw, nil)
	}
	inForce, err := readFile(o.against, cmd.InOrStdin())
	if err != nil {
		return nil, err
	}
	return platform.CheckConfig(raw, inForce)
}

// checkDocument checks a document or patch of the product; base is nil if there is nothing to
// compare with.
func (o *configCheckOptions) checkDocument(raw []byte, base *versioned) *configcheck.Report {
	standard, err := hujson.Standardize(raw)
	if err != nil {
		return configcheck.NewReport([]configcheck.Finding{{Severity: configcheck.Error, Problem: "malformed JSON: " + strings.TrimPrefix(err.Error(), "hujson: "), Mend: "correct the JSON there; comments and trailing commas are allowed"}})
	}
	checked := parseVersioned(standard)
	if o.hasVersion {
		checked.version = &o.version
	}
	var findings []configcheck.Finding
	if base != nil && base.version != nil && checked.version != nil && *checked.version != *base.version {
		findings = append(findings, configcheck.Finding{
			Severity: configcheck.Error, Path: "version",
			Problem: fmt.Sprintf("made against version %d, but version %d is in force: it would be refused", *checked.version, *base.version),
			Mend:    fmt.Sprintf("look at what changed, and make it against version %d", *base.version),
		})
	}
	document := checked.document
	var more []configcheck.Finding
	if o.isPatch {
		document, more = configcheck.CheckPatch(base.document, checked.document)
	} else {
		more = configcheck.CheckDocument(document)
	}
	findings = append(findings, more...)
	var changes []configcheck.Change
	if base != nil && document != nil {
		var lockouts []configcheck.Finding
		// A document that can't be compared has a finding that says why.
		changes, lockouts, _ = configcheck.CompareDocuments(base.document, document)
		findings = append(findings, lockouts...)
	}
	r := configcheck.NewReport(findings)
	r.Version, r.Changes = checked.version, changes
	if base != nil {
		r.AgainstVersion = base.version
	}
	return r
}

// versioned is a document with its version, nil if that is not told.
type versioned struct {
	version  *int64
	document []byte
}

// parseVersioned accepts a bare document, and the form in which the administration API and
// 'config get' give it.
func parseVersioned(raw []byte) versioned {
	var fields map[string]json.RawMessage
	var version int64
	if json.Unmarshal(raw, &fields) != nil || len(fields) != 2 || fields["document"] == nil || json.Unmarshal(fields["version"], &version) != nil {
		return versioned{document: raw}
	}
	document := fields["document"]
	if string(document) == "null" {
		// The configuration before the first patch.
		document = json.RawMessage("{}")
	}
	return versioned{&version, document}
}

// readBase reads the configuration to compare with from a file.
func readBase(file string, stdin io.Reader) (*versioned, error) {
	raw, err := readJSON(file, stdin)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	v := parseVersioned(raw)
	if err := requireObject(v.document); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &v, nil
}

// fetchInForce reads the version in force from a node. An answer without a version or a whole
// document is an error: a comparison with part of a configuration would be wrong.
func fetchInForce(cmd *cobra.Command, c *client) (*versioned, error) {
	var raw json.RawMessage
	if err := c.do(cmd.Context(), c.newRequest().Get("/v1/config"), &raw); err != nil {
		return nil, fmt.Errorf("the version in force could not be read: %w", err)
	}
	v := parseVersioned(raw)
	if v.version == nil {
		return nil, errors.New("the version in force could not be read: the answer holds no version")
	}
	if err := requireObject(v.document); err != nil {
		return nil, fmt.Errorf("the version in force could not be read: %w", err)
	}
	return &v, nil
}

func requireObject(raw []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		return errors.New("the configuration is no JSON object")
	}
	return nil
}

func readFile(file string, stdin io.Reader) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(file)
}
