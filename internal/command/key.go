package command

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"sapphirering/internal/operator"
	"sapphirering/internal/state"
)

const (
	keySecretBytes = 24
	minSecretBytes = 16
)

var keyCommand = subcommand{
	name: "key", args: "list | grant TEAM KEY-ID SECRET-FILE | withdraw KEY-ID", help: "list, grant and withdraw callers' keys; only the hash of a secret leaves this machine",
	examples: []string{
		"key grant -wait kita kita-2027 kita.secret   # writes a new secret to the file unless it exists",
		"key withdraw -wait kita-2026",
	},
	run: func(env *Env, args []string) error {
		switch {
		case len(args) == 1 && args[0] == "list":
			return listKeys(env)
		case len(args) == 4 && args[0] == "grant":
			return grantKey(env, args[1], args[2], args[3])
		case len(args) == 2 && args[0] == "withdraw":
			return env.change(http.MethodDelete, "/v1/keys/"+args[1], nil)
		}
		return fmt.Errorf("%w: want list, grant TEAM KEY-ID SECRET-FILE, or withdraw KEY-ID", errUsage)
	},
}

// grantKey writes a new secret to the file before it grants the key, so that a lost answer
// never leaves a granted key without its secret. The secret of an existing file is used, so
// that a repeated command grants the same secret.
func grantKey(env *Env, team, id, path string) error {
	secret, err := readSecret(path)
	if os.IsNotExist(err) {
		secret, err = newSecret(path)
	}
	if err != nil {
		return fmt.Errorf("%w: secret file: %w", errBadFile, err)
	}
	hash := state.HashKey(secret)
	return env.change(http.MethodPut, "/v1/keys/"+id, operator.KeyRequest{Team: team, SHA256Hex: hex.EncodeToString(hash[:])})
}

// readSecret reads a secret from a file that only its owner may access.
func readSecret(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return "", fmt.Errorf("%s has mode %04o, want 0600", path, mode)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minSecretBytes {
		return "", fmt.Errorf("%s: the secret is shorter than %d bytes", path, minSecretBytes)
	}
	return secret, nil
}

// newSecret creates the file with a random secret and syncs it to disk.
func newSecret(path string) (string, error) {
	random := make([]byte, keySecretBytes)
	if _, err := rand.Read(random); err != nil {
		return "", err
	}
	secret := base64.RawURLEncoding.EncodeToString(random)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return "", err
	}
	defer file.Close()
	if _, err := file.WriteString(secret); err != nil {
		return "", err
	}
	return secret, file.Sync()
}

// formatUnixMS formats a time given in Unix milliseconds.
func formatUnixMS(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func listKeys(env *Env) error {
	var keys []operator.KeyView
	if err := env.client.get("/v1/keys", &keys); err != nil {
		return err
	}
	return env.table(keys, "KEY TEAM GRANTED", func(print func(...any)) {
		for _, key := range keys {
			print(key.ID, key.Team, formatUnixMS(key.Granted))
		}
	})
}
