package admin

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/peterbourgon/ff/v3/ffyaml"

	"citronledge.example/core/chart"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
)

const (
	envPrefix             = "CITRONLEDGE"
	maxInForceTimeout     = 10 * time.Second // limit of the wait of --wait
	defaultCommandTimeout = 15 * time.Second // limit of the whole command
)

const exitCodes = `
EXIT CODES
  0  done
  1  failed
  2  wrong arguments or invalid settings
  3  refused because of another change
  4  the outcome is not known; the same command may be given again
`

// Connect opens the connection to the state cluster. The actor is the name of
// the operator in the audit trail.
type Connect func(ctx context.Context, addrs []string, keys string) (cluster Cluster, actor string, err error)

// commandLine holds the flags and outputs of one run of ctl.
type commandLine struct {
	connect   Connect
	out, errs io.Writer

	state, keys string
	json        bool
	wait        bool
	timeout     time.Duration
	reason      string
}

// Run runs the command line and returns its exit code. Errors and help go to
// errs, output to out.
func Run(ctx context.Context, args []string, connect Connect, out, errs io.Writer) int {
	c := &commandLine{connect: connect, out: out, errs: errs}
	root := c.rootCommand()
	err := root.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone // help was asked for
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		err = root.Run(ctx)
	}
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage // a command is missing
	case err == nil:
		return ExitDone
	}
	fmt.Fprintf(errs, "ctl: %s\n", fault.From(err).Message)
	return exitCode(err)
}

// exitCode is ExitCode, except that errors of the flag parser count as wrong
// arguments.
func exitCode(err error) int {
	if strings.HasPrefix(err.Error(), "error parsing commandline arguments") {
		return ExitUsage
	}
	return ExitCode(err)
}

func (c *commandLine) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(c.errs)
	fs.StringVar(&c.state, "state", c.state, "addresses of the state processes, host:port,host:port,...")
	fs.StringVar(&c.keys, "keys", c.keys, "file with the operator's session key")
	fs.BoolVar(&c.json, "json", false, "print JSON")
	fs.DurationVar(&c.timeout, "timeout", defaultCommandTimeout, "limit for the whole command")
	fs.String("config", "", "YAML file with the same settings")
	return fs
}

func (c *commandLine) newCommand(name, usage, help string, fs *flag.FlagSet, run func(ctx context.Context, args []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "ctl " + usage,
		ShortHelp:  help,
		LongHelp:   help + "." + exitCodes,
		FlagSet:    fs,
		Options: []ff.Option{
			ff.WithEnvVarPrefix(envPrefix),
			ff.WithConfigFileFlag("config"),
			ff.WithConfigFileParser(ffyaml.Parser),
			ff.WithIgnoreUndefined(true),
		},
		Exec: run,
	}
}

// withCluster connects to the state cluster before it runs a command.
func (c *commandLine) withCluster(run func(ctx context.Context, a *Admin, args []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if c.state == "" || c.keys == "" {
			return usageError("--state and --keys are needed; set them as flags, as CITRONLEDGE_STATE and CITRONLEDGE_KEYS, or in --config")
		}
		cluster, actor, err := c.connect(ctx, strings.Split(c.state, ","), c.keys)
		if err != nil {
			return err
		}
		return run(ctx, &Admin{Cluster: cluster, Actor: actor, Out: c.out, JSON: c.json}, args)
	}
}

func (c *commandLine) addWaitFlag(fs *flag.FlagSet) {
	fs.BoolVar(&c.wait, "wait", false, "return when the change is in force everywhere")
}

func (c *commandLine) inForceTimeout() InForceTimeout {
	if !c.wait {
		return 0
	}
	return InForceTimeout(min(c.timeout, maxInForceTimeout))
}

func (c *commandLine) rootCommand() *ffcli.Command {
	root := &ffcli.Command{
		ShortUsage: "ctl COMMAND [flags] [arguments]",
		LongHelp:   "ctl operates citronledge." + exitCodes,
		FlagSet:    flag.NewFlagSet("ctl", flag.ContinueOnError),
		Exec:       requireSubcommand("commands: ctl --help lists them"),
	}
	root.FlagSet.SetOutput(c.errs)
	root.Subcommands = append(c.folderCommands(), c.showCommands()...)
	root.Subcommands = append(root.Subcommands, c.rolloutCommand(), c.withdrawCommand(), c.restoreCommand(), c.evacuateCommand(), c.settleCommand(), c.keyCommand(), c.followCommand())
	return root
}

// checkArgs returns an error unless there is one argument for each of the names.
func checkArgs(args []string, names string) error {
	if slices.ContainsFunc(args, func(a string) bool { return strings.HasPrefix(a, "-") }) {
		return usageError("flags go before the arguments: " + names)
	}
	if n := len(strings.Fields(names)); len(args) != n {
		return usageError(fmt.Sprintf("got %d arguments, want: %s", len(args), names))
	}
	return nil
}

func (c *commandLine) folderCommands() []*ffcli.Command {
	check := c.newCommand("check", "check DIR", "check a settings folder and show the file and line of each value", c.newFlagSet("check"),
		func(_ context.Context, args []string) error {
			if err := checkArgs(args, "DIR"); err != nil {
				return err
			}
			return (&Admin{Out: c.out, JSON: c.json}).Check(args[0])
		})
	diff := c.newCommand("diff", "diff DIR", "show what apply would change", c.newFlagSet("diff"),
		c.withCluster(func(ctx context.Context, a *Admin, args []string) error {
			if err := checkArgs(args, "DIR"); err != nil {
				return err
			}
			return a.Diff(ctx, args[0])
		}))
	fs := c.newFlagSet("apply")
	c.addWaitFlag(fs)
	note := fs.String("note", "", "one line for the audit trail")
	apply := c.newCommand("apply", "apply [--wait] DIR", "make the configuration equal to a settings folder", fs,
		c.withCluster(func(ctx context.Context, a *Admin, args []string) error {
			if err := checkArgs(args, "DIR"); err != nil {
				return err
			}
			return a.Apply(ctx, args[0], *note, c.inForceTimeout())
		}))
	return []*ffcli.Command{check, diff, apply}
}

func (c *commandLine) showCommands() []*ffcli.Command {
	status := c.newCommand("status", "status", "show the state cluster, the lease holders and the versions", c.newFlagSet("status"),
		c.withCluster(func(ctx context.Context, a *Admin, _ []string) error { return a.Status(ctx) }))

	fs := c.newFlagSet("audit")
	after := fs.Uint64("after", 0, "start after this index")
	limit := fs.Int("limit", 0, "show at most so many records; 0 for all")
	audit := c.newCommand("audit", "audit", "show the audit trail", fs,
		c.withCluster(func(ctx context.Context, a *Admin, _ []string) error { return a.Audit(ctx, *after, *limit) }))

	fs = c.newFlagSet("bills")
	customer := fs.String("customer", "", "only this customer")
	billsAfter := fs.Uint64("after", 0, "start after this index")
	open := fs.Bool("open", false, "show the billing numbers that have no bill")
	bills := c.newCommand("bills", "bills", "show bills", fs,
		c.withCluster(func(ctx context.Context, a *Admin, _ []string) error {
			if *open {
				return a.OpenBills(ctx)
			}
			return a.Bills(ctx, ident.Customer(*customer), *billsAfter)
		}))

	fs = c.newFlagSet("operations")
	id := fs.String("id", "", "only this operation")
	phase := fs.String("phase", "", "only this phase: begun, handed, done, unknown or aborted")
	operations := c.newCommand("operations", "operations", "show calls that run at most once", fs,
		c.withCluster(func(ctx context.Context, a *Admin, _ []string) error { return a.Operations(ctx, *id, *phase) }))

	fs = c.newFlagSet("explain")
	gate := fs.String("gate", "", "admin address of the gate that served the request")
	explain := c.newCommand("explain", "explain --gate ADDR REQUEST", "show why a request was served as it was", fs,
		func(ctx context.Context, args []string) error {
			if err := checkArgs(args, "REQUEST"); err != nil {
				return err
			}
			return Explain(ctx, c.out, *gate, ident.Request(args[0]))
		})
	return []*ffcli.Command{status, audit, bills, operations, explain}
}

func (c *commandLine) rolloutCommand() *ffcli.Command {
	fs := c.newFlagSet("start")
	c.addWaitFlag(fs)
	steps := fs.String("steps", "0.05,0.25,0.5,1", "growing shares of new sessions")
	auto := fs.Bool("auto", false, "let the leader take the next steps by itself")
	start := c.newCommand("start", "rollout start [flags] MODEL FROM TO", "begin a roll-out", fs,
		c.withCluster(func(ctx context.Context, a *Admin, args []string) error {
			if err := checkArgs(args, "MODEL FROM TO"); err != nil {
				return err
			}
			shares, err := parseSteps(*steps)
			if err != nil {
				return err
			}
			plan := RolloutPlan{Model: ident.Model(args[0]), From: ident.Version(args[1]), To: ident.Version(args[2]), Steps: shares, Auto: *auto}
			return a.StartRollout(ctx, plan, c.inForceTimeout())
		}))
	rollout := &ffcli.Command{
		Name:        "rollout",
		ShortUsage:  "ctl rollout start|step|halt|resume|finish|revert MODEL ...",
		ShortHelp:   "move new sessions of a model from one version to another",
		FlagSet:     c.newFlagSet("rollout"),
		Exec:        requireSubcommand("rollout commands: start, step, halt, resume, finish or revert"),
		Subcommands: []*ffcli.Command{start},
	}
	rollout.Subcommands = append(rollout.Subcommands,
		c.rolloutEventCommand("step", "go to the next step"),
		c.rolloutEventCommand("halt", "give new sessions the old version until resume or revert"),
		c.rolloutEventCommand("resume", "continue a halted roll-out"),
		c.rolloutEventCommand("finish", "give all new sessions the new version"),
		c.rolloutEventCommand("revert", "take the roll-out back"),
	)
	return rollout
}

// requireSubcommand returns the function that runs when a command that has
// subcommands is called without any of them.
func requireSubcommand(names string) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return usageError(fmt.Sprintf("%q is not among the %s", args[0], names))
		}
		return flag.ErrHelp
	}
}

func (c *commandLine) rolloutEventCommand(event, help string) *ffcli.Command {
	fs := c.newFlagSet(event)
	c.addWaitFlag(fs)
	reason := fs.String("reason", "", "one line that status shows")
	return c.newCommand(event, "rollout "+event+" MODEL", help, fs,
		c.withCluster(func(ctx context.Context, a *Admin, args []string) error {
			if err := checkArgs(args, "MODEL"); err != nil {
				return err
			}
			return a.ApplyRolloutEvent(ctx, ident.Model(args[0]), chart.Event(event), *reason, c.inForceTimeout())
		}))
}

func parseSteps(text string) ([]ident.Share, error) {
	var list []ident.Share
	for part := range strings.SplitSeq(text, ",") {
		v, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil {
			return nil, usageError(fmt.Sprintf("step %q is not a number; write shares such as 0.05,0.25,1", part))
		}
		list = append(list, ident.Share(v))
	}
	return list, nil
}

func (c *commandLine) withdrawCommand() *ffcli.Command {
	fs := c.newFlagSet("withdraw")
	c.addWaitFlag(fs)
	reason := fs.String("reason", "", "one line that status shows")
	return c.newCommand("withdraw", "withdraw [--wait] MODEL VERSION", "take a version out of service for new chats and reports", fs,
		c.withCluster(func(ctx context.Context, a *Admin, args []string) error {
			if err := checkArgs(args, "MODEL VERSION"); err != nil {
				return err
			}
			return a.Withdraw(ctx, ident.Target{Model: ident.Model(args[0]), Version: ident.Version(args[1])}, *reason, c.inForceTimeout())
		}))
}

func (c *commandLine) restoreCommand() *ffcli.Command {
	fs := c.newFlagSet("restore")
	c.addWaitFlag(fs)
	return c.newCommand("restore", "restore [--wait] MODEL VERSION", "put a withdrawn version back into service", fs,
		c.withCluster(func(ctx context.Context, a *Admin, args []string) error {
			if err := checkArgs(args, "MODEL VERSION"); err != nil {
				return err
			}
			return a.Restore(ctx, ident.Target{Model: ident.Model(args[0]), Version: ident.Version(args[1])}, c.inForceTimeout())
		}))
}

func (c *commandLine) evacuateCommand() *ffcli.Command {
	fs := c.newFlagSet("evacuate")
	c.addWaitFlag(fs)
	return c.newCommand("evacuate", "evacuate [--wait] ZONE begin|finish", "send nothing more to the backend servers of an availability zone, or use them again", fs,
		c.withCluster(func(ctx context.Context, a *Admin, args []string) error {
			if err := checkArgs(args, "ZONE begin|finish"); err != nil {
				return err
			}
			if args[1] != "begin" && args[1] != "finish" {
				return usageError(fmt.Sprintf("%q is neither begin nor finish", args[1]))
			}
			return a.Evacuate(ctx, ident.Zone(args[0]), args[1] == "finish", c.inForceTimeout())
		}))
}

func (c *commandLine) settleCommand() *ffcli.Command {
	fs := c.newFlagSet("settle")
	status := fs.Int("status", 200, "HTTP status of the answer, with ran")
	body := fs.String("body", "", "file with the body of the answer, with ran")
	return c.newCommand("settle", "settle OPERATION ran|notrun", "decide an operation whose outcome is unknown", fs,
		c.withCluster(func(ctx context.Context, a *Admin, args []string) error {
			if err := checkArgs(args, "OPERATION ran|notrun"); err != nil {
				return err
			}
			if args[1] != "ran" && args[1] != "notrun" {
				return usageError(fmt.Sprintf("%q is neither ran nor notrun", args[1]))
			}
			var answer []byte
			if *body != "" {
				var err error
				if answer, err = os.ReadFile(*body); err != nil {
					return usageError("cannot read --body: " + err.Error())
				}
			}
			return a.Settle(ctx, args[0], args[1] == "ran", *status, answer)
		}))
}

func (c *commandLine) keyCommand() *ffcli.Command {
	return c.newCommand("key", "key", "make a bearer key for a customer and its digest for the settings", c.newFlagSet("key"),
		func(context.Context, []string) error { return PrintNewKey(c.out) })
}
