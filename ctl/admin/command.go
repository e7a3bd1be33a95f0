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
	envPrefix   = "CITRONLEDGE"
	defaultWait = 10 * time.Second
	defaultTime = 15 * time.Second // limit of one command without --wait
)

const exitCodes = `
EXIT CODES
  0  done
  1  failed
  2  wrong arguments or invalid settings
  3  refused because of another change
  4  the outcome is not known; the same command may be given again
`

// Connect opens the connection to the state cluster. The name is the
// operator's, for the audit trail.
type Connect func(ctx context.Context, addrs []string, keys string) (cluster Cluster, actor string, err error)

// shell is one run of the command line.
type shell struct {
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
	s := &shell{connect: connect, out: out, errs: errs}
	root := s.root()
	err := root.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone // help was asked for
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, s.timeout)
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
	return code(err)
}

// code is Code, with the errors of the flag parser as wrong arguments.
func code(err error) int {
	if strings.HasPrefix(err.Error(), "error parsing commandline arguments") {
		return ExitUsage
	}
	return ExitCode(err)
}

func (s *shell) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(s.errs)
	fs.StringVar(&s.state, "state", s.state, "addresses of the state processes, host:port,host:port,...")
	fs.StringVar(&s.keys, "keys", s.keys, "file with the operator's session key")
	fs.BoolVar(&s.json, "json", false, "print JSON")
	fs.DurationVar(&s.timeout, "timeout", defaultTime, "limit for the whole command")
	fs.String("config", "", "YAML file with the same settings")
	return fs
}

func (s *shell) command(name, usage, help string, fs *flag.FlagSet, run func(ctx context.Context, args []string) error) *ffcli.Command {
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

// online wraps a command that needs the cluster.
func (s *shell) online(run func(ctx context.Context, a *Admin, args []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if s.state == "" || s.keys == "" {
			return usage("--state and --keys are needed; set them as flags, as CITRONLEDGE_STATE and CITRONLEDGE_KEYS, or in --config")
		}
		cluster, actor, err := s.connect(ctx, strings.Split(s.state, ","), s.keys)
		if err != nil {
			return err
		}
		return run(ctx, &Admin{Cluster: cluster, Actor: actor, Out: s.out, JSON: s.json}, args)
	}
}

func (s *shell) waiting(fs *flag.FlagSet) {
	fs.BoolVar(&s.wait, "wait", false, "return when the change is in force everywhere")
}

func (s *shell) waitTime() InForceTimeout {
	if !s.wait {
		return 0
	}
	return InForceTimeout(min(s.timeout, defaultWait))
}

func (s *shell) root() *ffcli.Command {
	root := &ffcli.Command{
		ShortUsage: "ctl COMMAND [flags] [arguments]",
		LongHelp:   "ctl operates citronledge." + exitCodes,
		FlagSet:    flag.NewFlagSet("ctl", flag.ContinueOnError),
		Exec:       group("commands: ctl --help lists them"),
	}
	root.FlagSet.SetOutput(s.errs)
	root.Subcommands = append(s.folderCommands(), s.showCommands()...)
	root.Subcommands = append(root.Subcommands, s.rolloutCommand(), s.withdrawCommand(), s.restoreCommand(), s.settleCommand(), s.keyCommand(), s.followCommand())
	return root
}

func one(args []string, names string) error {
	if slices.ContainsFunc(args, func(a string) bool { return strings.HasPrefix(a, "-") }) {
		return usage("flags go before the arguments: " + names)
	}
	if n := len(strings.Fields(names)); len(args) != n {
		return usage(fmt.Sprintf("got %d arguments, want: %s", len(args), names))
	}
	return nil
}

func (s *shell) folderCommands() []*ffcli.Command {
	check := s.command("check", "check DIR", "check a settings folder and show the file and line of each value", s.flags("check"),
		func(_ context.Context, args []string) error {
			if err := one(args, "DIR"); err != nil {
				return err
			}
			return (&Admin{Out: s.out, JSON: s.json}).Check(args[0])
		})
	diff := s.command("diff", "diff DIR", "show what apply would change", s.flags("diff"),
		s.online(func(ctx context.Context, a *Admin, args []string) error {
			if err := one(args, "DIR"); err != nil {
				return err
			}
			return a.Diff(ctx, args[0])
		}))
	fs := s.flags("apply")
	s.waiting(fs)
	note := fs.String("note", "", "one line for the audit trail")
	apply := s.command("apply", "apply [--wait] DIR", "make the configuration equal to a settings folder", fs,
		s.online(func(ctx context.Context, a *Admin, args []string) error {
			if err := one(args, "DIR"); err != nil {
				return err
			}
			return a.Apply(ctx, args[0], *note, s.waitTime())
		}))
	return []*ffcli.Command{check, diff, apply}
}

func (s *shell) showCommands() []*ffcli.Command {
	status := s.command("status", "status", "show the state cluster, the lease holders and the versions", s.flags("status"),
		s.online(func(ctx context.Context, a *Admin, _ []string) error { return a.Status(ctx) }))

	fs := s.flags("audit")
	after := fs.Uint64("after", 0, "start after this index")
	limit := fs.Int("limit", 0, "show at most so many records; 0 for all")
	audit := s.command("audit", "audit", "show the audit trail", fs,
		s.online(func(ctx context.Context, a *Admin, _ []string) error { return a.Audit(ctx, *after, *limit) }))

	fs = s.flags("bills")
	customer := fs.String("customer", "", "only this customer")
	from := fs.Uint64("after", 0, "start after this index")
	open := fs.Bool("open", false, "show the billing numbers that have no bill")
	bills := s.command("bills", "bills", "show bills", fs,
		s.online(func(ctx context.Context, a *Admin, _ []string) error {
			if *open {
				return a.OpenBills(ctx)
			}
			return a.Bills(ctx, ident.Customer(*customer), *from)
		}))

	fs = s.flags("operations")
	id := fs.String("id", "", "only this operation")
	phase := fs.String("phase", "", "only this phase: begun, handed, done, unknown or aborted")
	operations := s.command("operations", "operations", "show calls that run at most once", fs,
		s.online(func(ctx context.Context, a *Admin, _ []string) error { return a.Operations(ctx, *id, *phase) }))

	fs = s.flags("explain")
	gate := fs.String("gate", "", "admin address of the gate that served the request")
	explain := s.command("explain", "explain --gate ADDR REQUEST", "show why a request was served as it was", fs,
		func(ctx context.Context, args []string) error {
			if err := one(args, "REQUEST"); err != nil {
				return err
			}
			return Explain(ctx, s.out, *gate, ident.Request(args[0]))
		})
	return []*ffcli.Command{status, audit, bills, operations, explain}
}

func (s *shell) rolloutCommand() *ffcli.Command {
	fs := s.flags("start")
	s.waiting(fs)
	steps := fs.String("steps", "0.05,0.25,0.5,1", "growing shares of new sessions")
	auto := fs.Bool("auto", false, "let the leader take the next steps by itself")
	start := s.command("start", "rollout start [flags] MODEL FROM TO", "begin a roll-out", fs,
		s.online(func(ctx context.Context, a *Admin, args []string) error {
			if err := one(args, "MODEL FROM TO"); err != nil {
				return err
			}
			shares, err := parseSteps(*steps)
			if err != nil {
				return err
			}
			plan := RolloutPlan{Model: ident.Model(args[0]), From: ident.Version(args[1]), To: ident.Version(args[2]), Steps: shares, Auto: *auto}
			return a.StartRollout(ctx, plan, s.waitTime())
		}))
	rollout := &ffcli.Command{
		Name:        "rollout",
		ShortUsage:  "ctl rollout start|step|halt|resume|finish|revert MODEL ...",
		ShortHelp:   "move new sessions of a model from one version to another",
		FlagSet:     s.flags("rollout"),
		Exec:        group("rollout commands: start, step, halt, resume, finish or revert"),
		Subcommands: []*ffcli.Command{start},
	}
	rollout.Subcommands = append(rollout.Subcommands,
		s.moveCommand("step", "go to the next step"),
		s.moveCommand("halt", "give new sessions the old version until resume or revert"),
		s.moveCommand("resume", "continue a halted roll-out"),
		s.moveCommand("finish", "give all new sessions the new version"),
		s.moveCommand("revert", "take the roll-out back"),
	)
	return rollout
}

// group returns what runs when a command with subcommands gets none of them.
func group(names string) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return usage(fmt.Sprintf("%q is not among the %s", args[0], names))
		}
		return flag.ErrHelp
	}
}

func (s *shell) moveCommand(event, help string) *ffcli.Command {
	fs := s.flags(event)
	s.waiting(fs)
	reason := fs.String("reason", "", "one line that status shows")
	return s.command(event, "rollout "+event+" MODEL", help, fs,
		s.online(func(ctx context.Context, a *Admin, args []string) error {
			if err := one(args, "MODEL"); err != nil {
				return err
			}
			return a.ApplyRolloutEvent(ctx, ident.Model(args[0]), chart.Event(event), *reason, s.waitTime())
		}))
}

func parseSteps(text string) ([]ident.Share, error) {
	var list []ident.Share
	for part := range strings.SplitSeq(text, ",") {
		v, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil {
			return nil, usage(fmt.Sprintf("step %q is not a number; write shares such as 0.05,0.25,1", part))
		}
		list = append(list, ident.Share(v))
	}
	return list, nil
}

func (s *shell) withdrawCommand() *ffcli.Command {
	fs := s.flags("withdraw")
	s.waiting(fs)
	reason := fs.String("reason", "", "one line that status shows")
	return s.command("withdraw", "withdraw [--wait] MODEL VERSION", "take a version out of service for new chats and reports", fs,
		s.online(func(ctx context.Context, a *Admin, args []string) error {
			if err := one(args, "MODEL VERSION"); err != nil {
				return err
			}
			return a.Withdraw(ctx, ident.Target{Model: ident.Model(args[0]), Version: ident.Version(args[1])}, *reason, s.waitTime())
		}))
}

func (s *shell) restoreCommand() *ffcli.Command {
	fs := s.flags("restore")
	s.waiting(fs)
	return s.command("restore", "restore [--wait] MODEL VERSION", "put a withdrawn version back into service", fs,
		s.online(func(ctx context.Context, a *Admin, args []string) error {
			if err := one(args, "MODEL VERSION"); err != nil {
				return err
			}
			return a.Restore(ctx, ident.Target{Model: ident.Model(args[0]), Version: ident.Version(args[1])}, s.waitTime())
		}))
}

func (s *shell) settleCommand() *ffcli.Command {
	fs := s.flags("settle")
	status := fs.Int("status", 200, "HTTP status of the answer, with ran")
	body := fs.String("body", "", "file with the body of the answer, with ran")
	return s.command("settle", "settle OPERATION ran|notrun", "decide an operation whose outcome is unknown", fs,
		s.online(func(ctx context.Context, a *Admin, args []string) error {
			if err := one(args, "OPERATION ran|notrun"); err != nil {
				return err
			}
			if args[1] != "ran" && args[1] != "notrun" {
				return usage(fmt.Sprintf("%q is neither ran nor notrun", args[1]))
			}
			var answer []byte
			if *body != "" {
				var err error
				if answer, err = os.ReadFile(*body); err != nil {
					return usage("cannot read --body: " + err.Error())
				}
			}
			return a.Settle(ctx, args[0], args[1] == "ran", *status, answer)
		}))
}

func (s *shell) keyCommand() *ffcli.Command {
	return s.command("key", "key", "make a bearer key for a customer and its digest for the settings", s.flags("key"),
		func(context.Context, []string) error { return PrintNewKey(s.out) })
}
