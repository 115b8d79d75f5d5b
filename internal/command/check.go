package command

import (
	"fmt"

	"sapphirering/internal/config"
)

var checkCommand = subcommand{
	name: "check", args: "settings FILE | document FILE | manifest FILE", help: "check a file without a running system; a manifest, with -address, also against the one in force",
	local: true, connects: true,
	examples: []string{"check settings entry-a1.yaml", "check document kita.yaml", "check manifest manifest.json", "check -o json -address http://10.0.0.4:8400 manifest manifest.json"},
	run: func(env *Env, args []string) error {
		if err := requireArgs(args, 2, "settings FILE, document FILE or manifest FILE"); err != nil {
			return err
		}
		if format := CatalogueFormats[args[0]]; format != nil {
			return checkCatalogue(env, format, args[1])
		}
		var err error
		switch args[0] {
		case "settings":
			_, err = config.LoadSettings(args[1])
		case "document":
			_, err = config.LoadDocument(args[1])
		default:
			return fmt.Errorf("%w: %q is not settings, document or manifest", errUsage, args[0])
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errBadFile, err)
		}
		fmt.Fprintf(env.Out, "%s: ok\n", args[1])
		return nil
	},
}
