package command

import (
	"fmt"
	"os"

	"sapphirering/internal/config"
)

var checkCommand = subcommand{
	name: "check", args: "settings FILE | document FILE", help: "check a file without a running system", local: true,
	run: func(env *Env, args []string) error {
		if err := wantArgs(args, 2, "settings FILE or document FILE"); err != nil {
			return err
		}
		if _, err := os.Stat(args[1]); err != nil {
			return err
		}
		var err error
		switch args[0] {
		case "settings":
			_, err = config.LoadSettings(args[1])
		case "document":
			_, err = config.LoadDocument(args[1])
		default:
			return fmt.Errorf("%w: %q is not settings or document", errUsage, args[0])
		}
		if err == nil {
			fmt.Fprintf(env.Out, "%s: ok\n", args[1])
		}
		return err
	},
}
