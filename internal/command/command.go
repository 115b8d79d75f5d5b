// Package command implements the subcommands of the sapphirering tool, one
// file each.
package command

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"time"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed: the command was refused or failed; nothing was changed.
	ExitFailed = 1
	// ExitUsage: the command line or a file is wrong; nothing was sent.
	ExitUsage = 2
	// ExitConflict: another change was committed first; nothing was changed.
	ExitConflict = 3
	// ExitUnknown: the answer was lost; the command may have taken effect.
	ExitUnknown = 4
	// ExitNotInForce: committed, but not in force everywhere within -timeout.
	ExitNotInForce = 5
)

const exitCodeHelp = `exit codes:
  0  done
  1  refused or failed; nothing was changed
  2  the command line or a file is wrong; nothing was sent
  3  another change came first; what is in force is printed
  4  the answer was lost; repeat the command with the -operation-id that is printed
  5  committed, but not in force everywhere within -timeout`

const (
	defaultTimeout = 20 * time.Second
	addressEnv     = "SAPPHIRERING_ADDRESS"
	keyFileEnv     = "SAPPHIRERING_KEY_FILE"
	caFileEnv      = "SAPPHIRERING_CA_FILE"
)

// errUsage marks errors in the command line.
var errUsage = errors.New("usage")

// Env holds the output streams, the client and the flags of a subcommand's run.
type Env struct {
	Out, Err io.Writer
	client   *client
	json     bool
	wait     bool
	opID     string
	fleet    fleetFlags
}

// subcommand is one subcommand of the tool with its help.
type subcommand struct {
	name string
	args string
	help string
	// examples are complete command lines without the program's name.
	examples []string
	run      func(env *Env, args []string) error
	// flags adds the flags of commands about VMs, pools and waves.
	flags func(set *flag.FlagSet, f *fleetFlags)
	// local subcommands need no running system; those with connects use one if an address is given.
	local, connects bool
}

func subcommands() []subcommand {
	all := []subcommand{
		applyCommand, deleteCommand, diffCommand, getCommand, keyCommand, poolCommand, vmCommand, jobCommand,
		memberCommand, statusCommand, checkCommand, explainCommand, waveCommand, stepsCommand, evacuateCommand, learnedCommand,
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

func findSubcommand(name string) (subcommand, bool) {
	for _, sub := range subcommands() {
		if sub.name == name {
			return sub, true
		}
	}
	return subcommand{}, false
}

// Main runs the tool and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		return helpCommand(args, out, errOut)
	}
	sub, ok := findSubcommand(args[0])
	if !ok {
		fmt.Fprintf(errOut, "sapphirering: no command %q; see 'sapphirering help'\n", args[0])
		return ExitUsage
	}
	return runSubcommand(sub, args[1:], out, errOut)
}

// helpCommand prints the help of the tool or of one subcommand.
func helpCommand(args []string, out, errOut io.Writer) int {
	if len(args) < 2 {
		usage(out)
		return ExitOK
	}
	sub, ok := findSubcommand(args[1])
	if !ok {
		fmt.Fprintf(errOut, "sapphirering: no command %q; see 'sapphirering help'\n", args[1])
		return ExitUsage
	}
	flags, _ := newFlags(sub, out)
	flags.Usage()
	return ExitOK
}

func usage(out io.Writer) {
	fmt.Fprintln(out, "usage: sapphirering COMMAND [flags] [arguments]")
	fmt.Fprintln(out)
	for _, sub := range subcommands() {
		fmt.Fprintf(out, "  %-8s %s\n  %-8s   %s\n", sub.name, sub.args, "", sub.help)
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, "flags: -address URL[,URL…], -key-file FILE, -ca-file FILE, -o table|json, -wait, -timeout DURATION, -operation-id ID")
	fmt.Fprintf(out, "%s, %s and %s give the defaults of -address, -key-file and -ca-file.\n", addressEnv, keyFileEnv, caFileEnv)
	fmt.Fprintln(out, "'sapphirering help COMMAND' prints the flags and examples of a command.")
	fmt.Fprintln(out)
	fmt.Fprintln(out, exitCodeHelp)
}

// options holds the flags that every subcommand takes, and the fleet flags of those
// that have them.
type options struct {
	address, keyFile, caFile, output, opID string
	wait                                   bool
	timeout                                time.Duration
	fleet                                  fleetFlags
}

func newFlags(sub subcommand, out io.Writer) (*flag.FlagSet, *options) {
	flags := flag.NewFlagSet(sub.name, flag.ContinueOnError)
	flags.SetOutput(out)
	flags.Usage = func() {
		fmt.Fprintf(out, "usage: sapphirering %s %s\n\n%s\n\nflags:\n", sub.name, sub.args, sub.help)
		flags.PrintDefaults()
		if len(sub.examples) > 0 {
			fmt.Fprintln(out, "\nexamples:")
		}
		for _, example := range sub.examples {
			fmt.Fprintln(out, "  sapphirering", example)
		}
		fmt.Fprintf(out, "\n%s\n", exitCodeHelp)
	}
	o := new(options)
	flags.StringVar(&o.address, "address", os.Getenv(addressEnv), "base `URLs` of the operators' listeners of entry VMs, separated by commas and tried in turn")
	flags.StringVar(&o.keyFile, "key-file", os.Getenv(keyFileEnv), "`file` of mode 0600 with the operator key")
	flags.StringVar(&o.caFile, "ca-file", os.Getenv(caFileEnv), "`file` with the certificate authority of the entry VMs, for https addresses")
	flags.StringVar(&o.output, "o", "table", "output `format`: table or json")
	flags.BoolVar(&o.wait, "wait", false, "wait until the change is in force everywhere")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "longest time for the whole command")
	flags.StringVar(&o.opID, "operation-id", "", "`id` of an earlier attempt, to finish a command whose answer was lost")
	if sub.flags != nil {
		sub.flags(flags, &o.fleet)
	}
	return flags, o
}

func runSubcommand(sub subcommand, args []string, out, errOut io.Writer) int {
	flags, o := newFlags(sub, errOut)
	positional, err := parseInterspersed(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		return ExitUsage
	}
	env := &Env{Out: out, Err: errOut, json: o.output == "json", wait: o.wait, opID: o.opID, fleet: o.fleet}
	if o.output != "table" && o.output != "json" {
		fmt.Fprintf(errOut, "sapphirering %s: -o: %q is not table or json\n", sub.name, o.output)
		return ExitUsage
	}
	if !sub.local || sub.connects && o.address != "" {
		client, cancel, err := newClient(o.address, o.keyFile, o.caFile, o.timeout)
		if err != nil {
			fmt.Fprintf(errOut, "sapphirering %s: %v\n", sub.name, err)
			return ExitUsage
		}
		defer cancel()
		env.client = client
	}
	return exitCode(sub, sub.run(env, positional), errOut)
}

// parseInterspersed parses flags before, between and after the positional arguments,
// and returns these.
func parseInterspersed(flags *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

// exitCode prints the error and returns its exit code.
func exitCode(sub subcommand, err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errOut, "sapphirering %s: %v\n", sub.name, err)
	var refused *resultError
	switch {
	case errors.Is(err, errUsage):
		fmt.Fprintf(errOut, "usage: sapphirering %s %s\n", sub.name, sub.args)
		return ExitUsage
	case errors.Is(err, errBadFile):
		return ExitUsage
	case errors.Is(err, errUnknownOutcome), errors.Is(err, errUnavailable):
		return ExitUnknown
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.As(err, &refused) && refused.result.Code == "conflict":
		return ExitConflict
	}
	return ExitFailed
}

// requireArgs returns a usage error unless there are n arguments.
func requireArgs(args []string, n int, names string) error {
	if len(args) != n {
		return fmt.Errorf("%w: want %s", errUsage, names)
	}
	return nil
}
