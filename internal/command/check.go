package command

import (
	"fmt"

	"sapphirering/internal/config"
)

var checkCommand = subcommand{
	name: "check", args: "settings FILE | document FILE", help: "check a file without a running system", local: true,
	examples: []string{"check settings entry-a1.yaml", "check document kita.yaml"},
	run: func(env *Env, args []string) error {
		if err := requireArgs(args, 2, "settings FILE or document FILE"); err != nil {
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
		if err != nil {
			return fmt.Errorf("%w: %w", errBadFile, err)
		}
		fmt.Fprintf(env.Out, "%s: ok\n", args[1])
		return nil
	},
}
