package command

import (
	"encoding/json"
	"os"

	"github.com/spf13/cobra"

	"github.com/rattanwall/rattanwall/internal/capacity"
)

func newCapacity() *cobra.Command {
	cmd := &cobra.Command{Use: "capacity", Short: "Measure what nodes cost, and work it out for other sizes"}
	cmd.AddCommand(capacityMeasure(), capacityReport())
	return cmd
}

func capacityMeasure() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:     "measure",
		Short:   "Run the real nodes over stand-ins at several sizes and write what they cost",
		Example: "  rattanwall capacity measure --out docs/capacity/measured.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := newLogger("error", "text")
			if err != nil {
				return err
			}
			m, err := capacity.Measure(cmd.Context(), log, progressPrinter(false))
			if err != nil {
				return err
			}
			raw, err := json.MarshalIndent(m, "", "  ")
			if err != nil {
				return err
			}
			return os.WriteFile(out, append(raw, '\n'), 0o600)
		},
	}
	cmd.Flags().StringVar(&out, "out", "docs/capacity/measured.json", "file to write")
	return cmd
}

func capacityReport() *cobra.Command {
	var in string
	cmd := &cobra.Command{
		Use:     "report",
		Short:   "Print the tables of docs/CAPACITY.md from a measurement",
		Example: "  rattanwall capacity report --in docs/capacity/measured.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			m, err := capacity.Read(in)
			if err != nil {
				return err
			}
			cmd.Print(capacity.Report(m))
			return nil
		},
	}
	cmd.Flags().StringVar(&in, "in", "docs/capacity/measured.json", "file that 'capacity measure' wrote")
	return cmd
}
