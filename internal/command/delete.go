package command

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"sapphirering/internal/operator"
)

var deleteCommand = subcommand{
	name: "delete", args: "TEAM [REVISION]", help: "delete a team's document; refused while keys are granted or units are handed out",
	examples: []string{"delete kita", "delete kita 17 -operation-id 0190…   # finishes a deletion whose answer was lost"},
	run: func(env *Env, args []string) error {
		if len(args) != 1 && len(args) != 2 {
			return fmt.Errorf("%w: want TEAM [REVISION]", errUsage)
		}
		revision, err := deleteRevision(env, args)
		if err != nil {
			return err
		}
		err = env.change(http.MethodDelete, fmt.Sprintf("/v1/documents/%s?revision=%d", args[0], revision), nil)
		if errors.Is(err, errUnknownOutcome) {
			return fmt.Errorf("%w (the command is: delete %s %d)", err, args[0], revision)
		}
		return err
	},
}

// deleteRevision returns the revision from the arguments, or the one in force.
func deleteRevision(env *Env, args []string) (uint64, error) {
	if len(args) == 2 {
		revision, err := strconv.ParseUint(args[1], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%w: REVISION: %w", errUsage, err)
		}
		return revision, nil
	}
	var view operator.DocumentView
	if err := env.client.get("/v1/documents/"+args[0], &view); err != nil {
		return 0, err
	}
	return view.Document.Revision, nil
}
