package config

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"gopkg.in/yaml.v3"
)

const goodDocument = `team: kita
share: 2
upper_limit: 8
availability:
  - pool: renderers
    min_available_vms: 3
queues:
  - name: proofs
    pool: renderers
    class: urgent
    needs: {millicores: 500, memory_mb: 256}
  - name: plates
    pool: renderers
    class: long
    admits: [minami]
    max_deadline_ms: 60000
`

func parseDocumentError(data []byte) error {
	_, err := ParseDocument(data)
	return err
}

func TestDocumentFaultsNameLineAndField(t *testing.T) {
	is := is.New(t)
	is.NoErr(parseDocumentError([]byte(goodDocument)))
	checkFaults(t, goodDocument, parseDocumentError, []faultCase{
		{"unknown field", "share: 2", "shares: 2", 2, "shares", "unknown field"},
		{"unknown queue field", "admits:", "admit:", 15, "queues[1].admit", "unknown field"},
		{"wrong unit", "memory_mb: 256", "memory_mb: 256MB", 11, "queues[0].needs.memory_mb", "without a unit"},
		{"negative", "millicores: 500", "millicores: -1", 11, "queues[0].needs.millicores", "whole number"},
		{"fraction", "millicores: 500", "millicores: 0.5", 11, "queues[0].needs.millicores", "whole number"},
		{"too large", "upper_limit: 8", "upper_limit: 4294967296", 3, "upper_limit", "whole number"},
		{"zero share", "share: 2", "share: 0", 2, "share", "not within"},
		{"no limit", "upper_limit: 8\n", "", 0, "upper_limit", "at least 1"},
		{"unknown class", "class: long", "class: later", 14, "queues[1].class", "urgent, normal or long"},
		{"no class", "    class: long\n", "", 12, "queues[1].class", "urgent, normal or long"},
		{"queue given twice", "name: plates", "name: proofs", 12, "queues[1].name", "given twice"},
		{"bad queue name", "name: plates", "name: 'plates!'", 12, "queues[1].name", "not a name"},
		{"bad admitted team", "[minami]", "[Minami]", 15, "queues[1].admits[0]", "not a name"},
		{"deadline too long", "60000", "600000", 16, "queues[1].max_deadline_ms", "not within"},
		{"budget without pool", "  - pool: renderers\n    min", "  - min", 5, "availability[0].pool", "is required"},
		{"budget given twice", "    min_available_vms: 3\n", "    min_available_vms: 3\n  - pool: renderers\n", 7,
			"availability[1].pool", "given twice"},
	})
}

func TestDocumentRoundTrip(t *testing.T) {
	is := is.New(t)
	doc, err := ParseDocument([]byte(goodDocument))
	is.NoErr(err)
	first, err := doc.Proto()
	is.NoErr(err)
	text, err := yaml.Marshal(FromProto(first))
	is.NoErr(err)
	again, err := ParseDocument(text)
	is.NoErr(err)
	second, err := again.Proto()
	is.NoErr(err)
	is.True(proto.Equal(first, second))
}

func FuzzDocument(f *testing.F) {
	f.Add([]byte(goodDocument))
	f.Add([]byte("team: x\nshare: 1\nupper_limit: 1\nqueues: [{name: q, pool: p, class: urgent, open: true}]\n"))
	f.Add([]byte("queues:\n  - &a {name: q}\n  - *a\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := ParseDocument(data)
		if err != nil {
			return
		}
		first, err := doc.Proto()
		if err != nil {
			t.Fatalf("a parsed document cannot be converted: %v", err)
		}
		text, err := yaml.Marshal(FromProto(first))
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseDocument(text)
		if err != nil {
			t.Fatalf("the document that was written back is refused: %v\n%s", err, text)
		}
		if second, _ := again.Proto(); !proto.Equal(first, second) {
			t.Fatalf("the round trip changed the document: %v, %v", first, second)
		}
	})
}

func TestOperatorKeys(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "operator.keys")
	write := func(text string, mode os.FileMode) error {
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		is.NoErr(os.Chmod(path, mode))
		_, err := LoadOperatorKeys(path)
		return err
	}
	is.NoErr(write("# keys\nhanako:0123456789abcdef\n\nplain-secret-of-the-operator\n", 0o600))
	keys, err := LoadOperatorKeys(path)
	is.NoErr(err)
	is.Equal(keys[0], OperatorKey{Name: "hanako", Secret: "0123456789abcdef"})
	is.Equal(keys[1].Name, defaultOperatorName)
	is.True(!strings.Contains(keys[0].String(), keys[0].Secret))
	for text, reason := range map[string]string{
		"hanako:short-secret":                               "line|:1: operator_key_file: the secret is shorter",
		"Hanako Sato:0123456789abcdef":                      "is not a name",
		"hanako:0123456789abcdef\nbunta:0123456789abcdef":   ":2: operator_key_file: the secret is given twice",
		string(bytes.Repeat([]byte{'x'}, MaxFileBytes+1)):   "larger than",
		"one:0123456789abcdef\ntwo!:fedcba9876543210abcdef": ":2: ",
	} {
		err := write(text, 0o600)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), strings.TrimPrefix(reason, "line|")))
		is.True(!strings.Contains(err.Error(), "0123456789abcdef")) // errors hold no secret
	}
	err = write("hanako:0123456789abcdef", 0o640)
	is.True(err != nil && strings.Contains(err.Error(), "mode 0640"))
}
