package config

import (
	"fmt"
	"os"
	"strings"

	"sapphirering/internal/state"
)

const (
	minOperatorKeyBytes = 16
	// groupAndOthersBits are the permission bits of all users but the owner.
	groupAndOthersBits  = 0o077
	defaultOperatorName = "operator"
)

// OperatorKey is the secret of one operator.
type OperatorKey struct {
	// Name is recorded with every command that the key issues.
	Name string
	// Secret must never be logged or stored.
	Secret string
}

// String leaves the secret out, so that it cannot reach a log.
func (k OperatorKey) String() string { return k.Name }

// GoString leaves the secret out.
func (k OperatorKey) GoString() string { return k.Name }

// LoadOperatorKeys reads operator keys, one "NAME:SECRET" on each line. Blank lines and lines
// that begin with '#' are skipped; a line without a name belongs to "operator". Only the owner
// may have access to the file. An empty path returns no keys. Errors never quote a line, since
// it may hold a secret.
func LoadOperatorKeys(path string) ([]OperatorKey, error) {
	if path == "" {
		return nil, nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, &FieldError{Field: "operator_key_file", Reason: err.Error()}
	}
	if info.Mode().Perm()&groupAndOthersBits != 0 {
		reason := fmt.Sprintf("has mode %04o, want 0600", info.Mode().Perm())
		return nil, &FieldError{File: path, Field: "operator_key_file", Reason: reason}
	}
	data, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator_key_file: %w", err)
	}
	return parseOperatorKeys(path, string(data))
}

func parseOperatorKeys(path, text string) ([]OperatorKey, error) {
	var keys []OperatorKey
	seen := make(map[string]bool)
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		key := parseOperatorKey(line)
		reason := operatorKeyFault(key, seen)
		if reason != "" {
			return nil, &FieldError{File: path, Line: i + 1, Field: "operator_key_file", Reason: reason}
		}
		seen[key.Secret] = true
		keys = append(keys, key)
	}
	return keys, nil
}

func parseOperatorKey(line string) OperatorKey {
	if name, secret, ok := strings.Cut(line, ":"); ok {
		return OperatorKey{Name: name, Secret: secret}
	}
	return OperatorKey{Name: defaultOperatorName, Secret: line}
}

func operatorKeyFault(key OperatorKey, seen map[string]bool) string {
	switch {
	case !state.ValidName(key.Name):
		return "the part before ':' is not a name"
	case len(key.Secret) < minOperatorKeyBytes:
		return fmt.Sprintf("the secret is shorter than %d bytes", minOperatorKeyBytes)
	case seen[key.Secret]:
		return "the secret is given twice"
	}
	return ""
}
