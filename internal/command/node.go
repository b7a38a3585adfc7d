package command

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/node"
	"github.com/rattanwall/rattanwall/internal/settings"
)

func newNode() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "node",
		Short:   "Run the process of an entry VM",
		Long:    "Run the process of an entry VM until SIGTERM or SIGINT, which begin a planned stop.",
		Example: "  rattanwall node --settings examples/cofnod-criw.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			log, err := newLogger(s.Log.Level, s.Log.Format)
			if err != nil {
				return err
			}
			n, err := node.New(s, netio.TCP{}, log)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return n.Run(ctx)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "file of settings (JSON with comments)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func newSettings() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Look at files of settings"}
	cmd.AddCommand(&cobra.Command{
		Use:     "check FILE",
		Short:   "Check a file of settings without starting anything",
		Example: "  rattanwall settings check examples/thessaly.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return err
			}
			cmd.Printf("%s: good\n", args[0])
			return nil
		},
	})
	return cmd
}
