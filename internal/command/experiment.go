package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/rattanwall/rattanwall/internal/experiment"
)

// maxSeeds limits an experiment: more seeds take hours and hardly improve the result.
const maxSeeds = 10_000

// experimentFlags holds the flags of the experiment command.
type experimentFlags struct {
	seeds    int
	first    uint64
	workers  int
	compare  []string
	policies []string
	ablate   bool
	list     bool
	asJSON   bool
	plot     string
}

func newExperiment() *cobra.Command {
	var f experimentFlags
	cmd := &cobra.Command{
		Use:   "experiment [SCENARIO]",
		Short: "Compare scheduling policies on a modelled fleet, in virtual time",
		Long: `Play a scenario, the name of one that comes with the program or a file of JSON
with comments, against the production scheduler in virtual time, and compare
policies over the same seeds: the default one, baselines, and what could be reached
if all were known or no filler pressed. "Service" is the worth earned over the worth
asked for; a difference whose margin (half of its 95 % interval) is larger than itself
may be chance.`,
		Example: `  rattanwall experiment colocated-48 --seeds 16 --compare first-come,least-loaded,informed
  rattanwall experiment pressed-48 --ablate --plot ablation.svg
  rattanwall experiment my.jsonc --policy 'tighter={"peak_limit": 0.85}' --json`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.list {
				listExperiments(cmd.OutOrStdout())
				return nil
			}
			if len(args) == 0 {
				return fmt.Errorf("name a scenario: %s, or a file", strings.Join(experiment.Scenarios(), ", "))
			}
			return f.run(cmd, args[0])
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&f.seeds, "seeds", 8, "how many seeds each variant plays")
	flags.Uint64Var(&f.first, "first", 1, "the first seed")
	flags.IntVar(&f.workers, "workers", max(runtime.NumCPU()/2, 1), "how many plays run at a time")
	flags.StringSliceVar(&f.compare, "compare", []string{"first-come", "least-loaded"}, "built-in variants beside the default one; --list names them")
	flags.StringArrayVar(&f.policies, "policy", nil, `a variant of your own, NAME={"field": value}; may be given more than once`)
	flags.BoolVar(&f.ablate, "ablate", false, "add the default policy with each mechanism off in turn")
	flags.BoolVar(&f.list, "list", false, "list scenarios and variants")
	flags.BoolVar(&f.asJSON, "json", false, "print JSON for programs, every seed's figures included")
	flags.StringVar(&f.plot, "plot", "", "write the differences as a plot to this file (.svg, .png or .pdf)")
	return cmd
}

func listExperiments(out io.Writer) {
	_, _ = fmt.Fprintf(out, "scenarios: %s\nvariants: %s\n", strings.Join(experiment.Scenarios(), ", "), experiment.Names(experiment.Variants()))
}

func (f *experimentFlags) run(cmd *cobra.Command, name string) error {
	if f.seeds < 1 || f.seeds > maxSeeds {
		return fmt.Errorf("--seeds: give 1 to %d", maxSeeds)
	}
	scenario, err := experiment.Find(name)
	if err != nil {
		return err
	}
	variants, err := f.variants()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := f.play(ctx, &scenario, variants)
	if err != nil {
		return err
	}
	if f.plot != "" {
		if err := experiment.Plot(&report, f.plot); err != nil {
			return err
		}
	}
	if f.asJSON {
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetIndent("", "  ")
		return enc.Encode(report)
	}
	printExperiment(cmd.OutOrStdout(), &report)
	return nil
}

// variants returns the variants to compare, the default one first.
func (f *experimentFlags) variants() ([]experiment.Variant, error) {
	names := f.compare
	if f.ablate {
		for _, v := range experiment.Variants() {
			if strings.HasPrefix(v.Name, "no-") {
				names = append(names, v.Name)
			}
		}
	}
	variants, err := experiment.Choose(names)
	if err != nil {
		return nil, fmt.Errorf("--compare: %w", err)
	}
	for _, text := range f.policies {
		name, raw, ok := strings.Cut(text, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf(`--policy: give NAME={"field": value}, not %q`, text)
		}
		v, err := experiment.ParseVariant(name, []byte(raw))
		if err != nil {
			return nil, fmt.Errorf("--policy: %w", err)
		}
		variants = append(variants, v)
	}
	return variants, nil
}

func (f *experimentFlags) play(ctx context.Context, s *experiment.Scenario, variants []experiment.Variant) (experiment.Report, error) {
	o := experiment.Options{Variants: variants, Seeds: f.seeds, First: f.first, Workers: f.workers}
	if !f.asJSON && isTerminal(os.Stderr) {
		o.Progress = func(done, total int) {
			_, _ = fmt.Fprintf(os.Stderr, "\r%d of %d plays", done, total)
			if done == total {
				_, _ = fmt.Fprintln(os.Stderr)
			}
		}
	}
	return experiment.Compare(ctx, s, o)
}

func printExperiment(out io.Writer, r *experiment.Report) {
	_, _ = fmt.Fprintf(out, "%s, seeds %d to %d\n\n", r.Scenario, r.First, r.First+uint64(r.Seeds)-1)
	t := newTable(out, "VARIANT", "SERVICE", "QUARTILES", "DIFFERENCE", "MARGIN", "SERVING", "SHORT", "FILLERS", "LARGEST", "HARM S", "LONGEST", "WAIT S", "USED", "NS/START")
	for i := range r.Variants {
		v := &r.Variants[i]
		m := &v.Means
		significance := ""
		if v.Significant() {
			significance = "*"
		}
		t.row(v.Name, formatShare(v.Median), formatShare(v.Low)+"-"+formatShare(v.High), fmt.Sprintf("%+.4f%s", v.Difference, significance), fmt.Sprintf("%.4f", v.Margin),
			formatShare(m.Kinds["serving"]), formatShare(m.Kinds["short"]), formatShare(m.Kinds["fillers"]), formatShare(m.Largest),
			fmt.Sprintf("%.0f", m.HarmS), fmt.Sprintf("%.1f", m.LongestHarmS), fmt.Sprintf("%.1f", m.LongestWaitS), formatShare(m.Used),
			fmt.Sprintf("%.0f", m.NsPerDecision))
	}
	t.flush()
	_, _ = fmt.Fprintln(out, "\n* beyond chance. SERVICE is the median; HARM S counts serving task seconds over target because of fillers, LONGEST the longest spell, WAIT S the longest wait of a short job.")
}

func formatShare(x float64) string { return fmt.Sprintf("%.3f", x) }
