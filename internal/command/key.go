package command

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"time"

	"sapphirering/internal/operator"
	"sapphirering/internal/state"
)

const keySecretBytes = 24

var keyCommand = subcommand{
	name: "key", args: "list | grant TEAM KEY-ID SECRET-FILE | withdraw KEY-ID", help: "list, grant and withdraw callers' keys",
	run: func(env *Env, args []string) error {
		switch {
		case len(args) == 1 && args[0] == "list":
			return listKeys(env)
		case len(args) == 4 && args[0] == "grant":
			return grantKey(env, args[1], args[2], args[3])
		case len(args) == 2 && args[0] == "withdraw":
			return env.change(http.MethodDelete, "/v1/keys/"+args[1], nil)
		}
		return fmt.Errorf("%w: list, grant TEAM KEY-ID SECRET-FILE, or withdraw KEY-ID", errUsage)
	},
}

// grantKey writes a new secret to the file before it is granted, so that a
// lost answer never leaves a granted key without its secret. An existing file
// is used as it is: a repeated command grants the same secret.
func grantKey(env *Env, team, id, path string) error {
	secret, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		secret, err = newSecret(path)
	}
	if err != nil {
		return fmt.Errorf("secret file: %w", err)
	}
	hash := state.HashKey(string(secret))
	return env.change(http.MethodPut, "/v1/keys/"+id, operator.KeyRequest{Team: team, SHA256Hex: hex.EncodeToString(hash[:])})
}

func newSecret(path string) ([]byte, error) {
	random := make([]byte, keySecretBytes)
	rand.Read(random)
	secret := []byte(base64.RawURLEncoding.EncodeToString(random))
	return secret, os.WriteFile(path, secret, 0o600)
}

func listKeys(env *Env) error {
	var keys []operator.KeyView
	if err := env.client.get("/v1/keys", &keys); err != nil {
		return err
	}
	return env.table(keys, "KEY TEAM GRANTED", func(print func(...any)) {
		for _, key := range keys {
			print(key.ID, key.Team, time.UnixMilli(key.Granted).UTC().Format(time.RFC3339))
		}
	})
}
