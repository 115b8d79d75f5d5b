package event_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/matryer/is"

	"sapphirering/internal/event"
)

const root = "../.."

func TestCatalogueEqualsThePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join(root, "docs/EVENTS.md"))
	is.NoErr(err)
	is.Equal(string(page), event.Page()) // to update the page: go run ./tools/gendocs
}

func TestNumbersAreUnique(t *testing.T) {
	seen := make(map[int]string)
	for _, e := range event.All() {
		if other, ok := seen[e.Number]; ok {
			t.Errorf("number %d is both %q and %q", e.Number, other, e.Text)
		}
		seen[e.Number] = e.Text
		if e.Number < 1000 || e.Number > 7999 || e.Text == "" {
			t.Errorf("event %d %q is out of range or has no text", e.Number, e.Text)
		}
	}
}

// goFiles parses every Go file of internal and cmd, except tests.
func goFiles(t *testing.T) map[string]*ast.File {
	t.Helper()
	files := make(map[string]*ast.File)
	for _, folder := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			files[path] = file
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// TestEveryEventIsUsed finds events that are defined but never emitted.
func TestEveryEventIsUsed(t *testing.T) {
	defined, used := make(map[string]bool), make(map[string]bool)
	for path, file := range goFiles(t) {
		own := filepath.Base(filepath.Dir(path)) == "event"
		catalogue := own && strings.HasPrefix(filepath.Base(path), "catalogue")
		ast.Inspect(file, func(node ast.Node) bool {
			switch n := node.(type) {
			case *ast.ValueSpec:
				if catalogue && len(n.Values) == 1 {
					defined[n.Names[0].Name] = true
				}
			case *ast.Ident:
				// Inside package event, events are used without a selector.
				used[n.Name] = used[n.Name] || own && !catalogue
			case *ast.SelectorExpr:
				if pkg, ok := n.X.(*ast.Ident); ok && pkg.Name == "event" {
					used[n.Sel.Name] = true
				}
			}
			return true
		})
	}
	if len(defined) == 0 {
		t.Fatal("no events found")
	}
	for name := range defined {
		if !used[name] {
			t.Errorf("event %s is never emitted", name)
		}
	}
}

// TestOnlyEventsAreLogged checks that code logs only through events, whose texts are fixed,
// and that no field name suggests a secret.
func TestOnlyEventsAreLogged(t *testing.T) {
	forbidden := []string{"secret", "password", "authorization", "bearer", "payload"}
	for path, file := range goFiles(t) {
		if strings.Contains(path, filepath.Join("internal", "event")) {
			continue
		}
		usesLog := false
		for _, imported := range file.Imports {
			usesLog = usesLog || imported.Path.Value == `"github.com/apex/log"`
		}
		ast.Inspect(file, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return true
			}
			selector, ok := call.Fun.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			pkg, _ := selector.X.(*ast.Ident)
			if usesLog && pkg != nil && pkg.Name == "log" && selector.Sel.Name != "SetHandler" {
				t.Errorf("%s logs with log.%s instead of an event", path, selector.Sel.Name)
			}
			if pkg != nil && pkg.Name == "event" && selector.Sel.Name == "F" {
				name, _ := call.Args[0].(*ast.BasicLit)
				for _, word := range forbidden {
					if name == nil || strings.Contains(strings.ToLower(name.Value), word) {
						t.Errorf("%s: field %v may carry a secret", path, call.Args[0])
						break
					}
				}
			}
			return true
		})
	}
}

func TestEmitWritesNumberAndFields(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log.SetHandler(logfmt.New(&out))
	event.DaemonStarted.Emit(event.F("zone", "a"))
	is.True(strings.Contains(out.String(), "event=1001"))
	is.True(strings.Contains(out.String(), "zone=a"))
}
