package command

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"github.com/rattanwall/rattanwall/internal/admin"
	"github.com/rattanwall/rattanwall/internal/jobs"
	"github.com/rattanwall/rattanwall/internal/node"
)

func newTeam() *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{Use: "team", Short: "Show teams and what they use"}
	c.addFlags(cmd)
	cmd.AddCommand(&cobra.Command{
		Use: "list", Short: "List the teams with their quotas", Args: cobra.NoArgs,
		Example: "  rattanwall team list",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var teams []admin.TeamInfo
			if err := c.do(cmd.Context(), c.newRequest().Get("/v1/teams"), &teams); err != nil {
				return err
			}
			return c.print(cmd, teams, func() {
				t := newTable(cmd.OutOrStdout(), "TEAM", "WEIGHT", "QUOTA", "MAX IN FLIGHT")
				for _, team := range teams {
					t.row(team.Name, team.Weight, team.Quota, team.MaxInFlight)
				}
				t.flush()
			})
		},
	}, teamUsage(c))
	return cmd
}

func teamUsage(c *client) *cobra.Command {
	return &cobra.Command{
		Use: "usage TEAM", Short: "Show what a team's tasks take now", Args: cobra.ExactArgs(1),
		Example: "  rattanwall team usage training",
		RunE: func(cmd *cobra.Command, args []string) error {
			var listing jobs.Listing
			if err := c.do(cmd.Context(), c.newRequest().Get("/v1/teams/"+args[0]+"/jobs"), &listing); err != nil {
				return err
			}
			usage := jobs.UsageOf(listing)
			return c.print(cmd, usage, func() {
				cmd.Printf("%s: %d jobs open, %d tasks placed taking %s, %d queued\n", args[0], usage.OpenJobs, usage.Placed, usage.Resources, usage.Queued)
			})
		},
	}
}

func newVM() *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{Use: "vm", Short: "Show VMs and empty them"}
	c.addFlags(cmd)
	cmd.AddCommand(&cobra.Command{
		Use: "list", Short: "List the VMs with their owners", Args: cobra.NoArgs,
		Example: "  rattanwall vm list --json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list []admin.VMInfo
			if err := c.do(cmd.Context(), c.newRequest().Get("/v1/vms"), &list); err != nil {
				return err
			}
			return c.print(cmd, list, func() {
				t := newTable(cmd.OutOrStdout(), "VM", "ZONE", "RACK", "STATE", "DRAINED", "OWNER", "CAPACITY")
				for _, vm := range list {
					t.row(vm.Name, vm.Zone, vm.Rack, vm.State, vm.Drained, vm.Owner, vm.Capacity)
				}
				t.flush()
			})
		},
	}, vmDrain(c))
	return cmd
}

func vmDrain(c *client) *cobra.Command {
	var undo bool
	cmd := &cobra.Command{
		Use: "drain VM", Short: "Empty a VM: no new work, its tasks move elsewhere", Args: cobra.ExactArgs(1),
		Example: "  rattanwall vm drain cardiff-w03\n  rattanwall vm drain cardiff-w03 --undo",
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.sendChange(cmd, c.newRequest().Put("/v1/vms/"+args[0]+"/drain").BodyJSON(map[string]bool{"drained": !undo}))
		},
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "let the VM take work again")
	return cmd
}

func newStatus() *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{
		Use: "status", Short: "Show a node and its peers", Args: cobra.NoArgs,
		Example: "  rattanwall status --admin 10.1.0.11:8081",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s node.Status
			if err := c.do(cmd.Context(), c.newRequest().Get("/v1/status"), &s); err != nil {
				return err
			}
			return c.print(cmd, s, func() { printStatus(cmd, s) })
		},
	}
	c.addFlags(cmd)
	return cmd
}

func printStatus(cmd *cobra.Command, s node.Status) {
	cmd.Printf("node %s in %s: ready %t, store reachable %t, configuration %d (confirmed %d ms ago)\n",
		s.Node, s.Zone, s.Ready, s.StoreReachable, s.ConfigVersion, s.ConfirmedMSAgo)
	cmd.Printf("%d requests under way, %d waiting; %d VMs owned; job shards led: %v\n\n", s.InFlight, s.Waiting, s.VMsOwned, s.JobShards)
	t := newTable(cmd.OutOrStdout(), "PEER", "ZONE", "HEARD MS AGO", "CONFIG", "VMS", "DRAINING", "STORE")
	for _, p := range s.Peers {
		t.row(p.Node, p.Zone, p.ReportAgeMS, p.ConfigVersion, p.VMs, p.Draining, p.StoreReachable)
	}
	t.flush()
}

func newDump() *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{
		Use: "dump", Short: "Print a node's whole state as JSON", Args: cobra.NoArgs,
		Example: "  rattanwall dump --admin 10.1.0.11:8081",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var dump json.RawMessage
			if err := c.do(cmd.Context(), c.newRequest().Get("/v1/dump"), &dump); err != nil {
				return err
			}
			return c.print(cmd, dump, nil)
		},
	}
	c.addFlags(cmd)
	return cmd
}
