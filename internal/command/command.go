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
	// ExitFailed: the command was refused or failed.
	ExitFailed = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = 2
	// ExitConflict: another change came first.
	ExitConflict = 3
	// ExitUnknown: the answer was lost; the command may have taken effect.
	ExitUnknown = 4
)

const defaultTimeout = 20 * time.Second

// errUsage marks errors of the command line.
var errUsage = errors.New("usage")

// Env is what a subcommand works with.
type Env struct {
	Out, Err io.Writer
	client   *client
	json     bool
	wait     bool
	opID     string
}

// subcommand is one verb of the tool.
type subcommand struct {
	name  string
	args  string
	help  string
	run   func(env *Env, args []string) error
	local bool
}

func subcommands() []subcommand {
	all := []subcommand{
		applyCommand, getCommand, keyCommand, poolCommand, vmCommand, jobCommand,
		memberCommand, statusCommand, checkCommand, explainCommand,
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// Main runs the tool and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		usage(out)
		return ExitOK
	}
	for _, sub := range subcommands() {
		if sub.name == args[0] {
			return runSubcommand(sub, args[1:], out, errOut)
		}
	}
	fmt.Fprintf(errOut, "sapphirering: no command %q; see 'sapphirering help'\n", args[0])
	return ExitUsage
}

func usage(out io.Writer) {
	fmt.Fprintln(out, "usage: sapphirering COMMAND [flags] [arguments]")
	fmt.Fprintln(out)
	for _, sub := range subcommands() {
		fmt.Fprintf(out, "  %-8s %-44s %s\n", sub.name, sub.args, sub.help)
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, "flags: -address URL, -key-file FILE, -o table|json, -wait, -timeout DURATION, -operation-id ID")
	fmt.Fprintln(out, "The environment variables SAPPHIRERING_ADDRESS and SAPPHIRERING_KEY_FILE give the defaults.")
}

func runSubcommand(sub subcommand, args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet(sub.name, flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.Usage = func() {
		fmt.Fprintf(errOut, "usage: sapphirering %s %s\n%s\n", sub.name, sub.args, sub.help)
		flags.PrintDefaults()
	}
	address := flags.String("address", os.Getenv("SAPPHIRERING_ADDRESS"), "base URL of an entry VM's operators' listener")
	keyFile := flags.String("key-file", os.Getenv("SAPPHIRERING_KEY_FILE"), "file with the operator key")
	output := flags.String("o", "table", "output format: table or json")
	wait := flags.Bool("wait", false, "wait until the change is in force everywhere")
	timeout := flags.Duration("timeout", defaultTimeout, "longest time for the whole command")
	opID := flags.String("operation-id", "", "id of an earlier try, to finish a command whose answer was lost")
	positional, err := parseInterspersed(flags, args)
	if err != nil {
		return ExitUsage
	}
	env := &Env{Out: out, Err: errOut, json: *output == "json", wait: *wait, opID: *opID}
	if *output != "table" && *output != "json" {
		fmt.Fprintf(errOut, "sapphirering %s: -o: %q is not table or json\n", sub.name, *output)
		return ExitUsage
	}
	if !sub.local {
		client, err := newClient(*address, *keyFile, *timeout)
		if err != nil {
			fmt.Fprintf(errOut, "sapphirering %s: %v\n", sub.name, err)
			return ExitUsage
		}
		env.client = client
	}
	return exitCode(sub.name, sub.run(env, positional), errOut)
}

// parseInterspersed parses flags before, between and after the arguments.
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

func exitCode(name string, err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errOut, "sapphirering %s: %v\n", name, err)
	var refused *resultError
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errUnknownOutcome):
		return ExitUnknown
	case errors.As(err, &refused) && refused.result.Code == "conflict":
		return ExitConflict
	}
	return ExitFailed
}

// wantArgs checks the number of arguments.
func wantArgs(args []string, n int, names string) error {
	if len(args) != n {
		return fmt.Errorf("%w: want %s", errUsage, names)
	}
	return nil
}
