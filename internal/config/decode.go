package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// maxNestingDepth is the deepest nesting of values in a file.
const maxNestingDepth = 16

// FieldError is one fault of a file. File is empty and Line is 0 when the value did not come
// from a file.
type FieldError struct {
	File string
	// Line counts from 1.
	Line int
	// Field is a path such as "queues[1].class".
	Field  string
	Reason string
}

// Error returns "file:line: field: reason" without the parts that are unknown.
func (e *FieldError) Error() string {
	var b strings.Builder
	switch {
	case e.File != "" && e.Line > 0:
		fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	case e.File != "":
		fmt.Fprintf(&b, "%s: ", e.File)
	case e.Line > 0:
		fmt.Fprintf(&b, "line %d: ", e.Line)
	}
	if e.Field != "" {
		fmt.Fprintf(&b, "%s: ", e.Field)
	}
	b.WriteString(e.Reason)
	return b.String()
}

// FieldErrors are all the faults of a file in the order of its lines.
type FieldErrors []*FieldError

// Error returns one line for each fault.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// source holds the line of each field of a file and the faults found in the file.
type source struct {
	file   string
	lines  map[string]int
	faults FieldErrors
}

func (s *source) addFaultAt(line int, field, reason string, args ...any) {
	s.faults = append(s.faults, &FieldError{File: s.file, Line: line, Field: field, Reason: fmt.Sprintf(reason, args...)})
}

// addFault records a fault of a field that may be absent from the file.
func (s *source) addFault(field, reason string, args ...any) {
	s.addFaultAt(s.lineOf(field), field, reason, args...)
}

// lineOf returns the line of the field or of the nearest parent that is in the file.
func (s *source) lineOf(field string) int {
	for field != "" {
		if line, ok := s.lines[field]; ok {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 0
}

// err returns the faults in the order of their lines, or nil.
func (s *source) err() error {
	if len(s.faults) == 0 {
		return nil
	}
	sort.SliceStable(s.faults, func(i, j int) bool { return s.faults[i].Line < s.faults[j].Line })
	return s.faults
}

// decodeStrict decodes exactly one YAML document. Unknown and repeated fields,
// aliases, and values of another type than the field's are errors.
func decodeStrict(file string, data []byte, into any) (*source, error) {
	s := &source{file: file, lines: make(map[string]int)}
	if len(data) > MaxFileBytes {
		s.addFaultAt(0, "", "%d bytes, at most %d are allowed", len(data), MaxFileBytes)
		return nil, s.err()
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var root yaml.Node
	if err := decoder.Decode(&root); err != nil {
		s.addFaultAt(0, "", "%s", syntaxReason(err))
		return nil, s.err()
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		s.addFaultAt(0, "", "more than one YAML document")
		return nil, s.err()
	}
	if len(root.Content) == 0 {
		s.addFaultAt(0, "", "the file is empty")
		return nil, s.err()
	}
	s.checkNode(root.Content[0], reflect.TypeOf(into).Elem(), "", 0)
	if err := s.err(); err != nil {
		return nil, err
	}
	if err := root.Decode(into); err != nil {
		s.addFaultAt(0, "", "%s", syntaxReason(err))
		return nil, s.err()
	}
	return s, nil
}

func syntaxReason(err error) string {
	if errors.Is(err, io.EOF) {
		return "the file is empty"
	}
	return strings.TrimPrefix(err.Error(), "yaml: ")
}

var durationType = reflect.TypeFor[Duration]()

// checkNode checks that a node fits the Go type that it will be decoded into.
func (s *source) checkNode(node *yaml.Node, want reflect.Type, path string, depth int) {
	if path != "" {
		s.lines[path] = node.Line
	}
	if depth > maxNestingDepth {
		s.addFaultAt(node.Line, path, "nested more than %d levels deep", maxNestingDepth)
		return
	}
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		s.addFaultAt(node.Line, path, "anchors and aliases are not allowed")
		return
	}
	if node.Tag == "!!null" {
		s.addFaultAt(node.Line, path, "has no value; give one or leave the field out")
		return
	}
	if want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	switch {
	case want == durationType:
		s.checkDuration(node, path)
	case want.Kind() == reflect.Struct:
		s.checkStruct(node, want, path, depth)
	case want.Kind() == reflect.Slice:
		s.checkSlice(node, want, path, depth)
	case want.Kind() == reflect.Map:
		s.checkMap(node, want, path, depth)
	default:
		s.checkScalar(node, want, path)
	}
}

func (s *source) checkStruct(node *yaml.Node, want reflect.Type, path string, depth int) {
	if node.Kind != yaml.MappingNode {
		s.addFaultAt(node.Line, path, "want fields, got %s", nodeKind(node))
		return
	}
	fields := structFields(want)
	s.eachKey(node, path, func(key, value *yaml.Node, field string) {
		fieldType, ok := fields[key.Value]
		if !ok {
			s.addFaultAt(key.Line, field, "unknown field; the fields here are %s", strings.Join(sortedNames(fields), ", "))
			return
		}
		s.checkNode(value, fieldType, field, depth+1)
	})
}

func (s *source) checkMap(node *yaml.Node, want reflect.Type, path string, depth int) {
	if node.Kind != yaml.MappingNode {
		s.addFaultAt(node.Line, path, "want a mapping, got %s", nodeKind(node))
		return
	}
	s.eachKey(node, path, func(_, value *yaml.Node, field string) {
		s.checkNode(value, want.Elem(), field, depth+1)
	})
}

// eachKey calls visit for every key of a mapping and reports repeated keys.
func (s *source) eachKey(node *yaml.Node, path string, visit func(key, value *yaml.Node, field string)) {
	first := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if key.Kind != yaml.ScalarNode || key.Anchor != "" || key.Tag == "!!merge" {
			s.addFaultAt(key.Line, path, "keys must be plain names")
			continue
		}
		field := joinPath(path, key.Value)
		if line, ok := first[key.Value]; ok {
			s.addFaultAt(key.Line, field, "given twice, first on line %d", line)
			continue
		}
		first[key.Value] = key.Line
		visit(key, value, field)
	}
}

func (s *source) checkSlice(node *yaml.Node, want reflect.Type, path string, depth int) {
	if node.Kind != yaml.SequenceNode {
		s.addFaultAt(node.Line, path, "want a list, got %s", nodeKind(node))
		return
	}
	for i, item := range node.Content {
		s.checkNode(item, want.Elem(), fmt.Sprintf("%s[%d]", path, i), depth+1)
	}
}

func (s *source) checkDuration(node *yaml.Node, path string) {
	if _, err := parseDuration(node); err != nil {
		s.addFaultAt(node.Line, path, "%v", err)
	}
}

func (s *source) checkScalar(node *yaml.Node, want reflect.Type, path string) {
	if node.Kind != yaml.ScalarNode {
		s.addFaultAt(node.Line, path, "want one value, got %s", nodeKind(node))
		return
	}
	switch want.Kind() {
	case reflect.String:
		if node.Tag != "!!str" {
			s.addFaultAt(node.Line, path, "want text, got %s; put it in quotes", node.Value)
		}
	case reflect.Bool:
		if node.Tag != "!!bool" {
			s.addFaultAt(node.Line, path, "want true or false, got %q", node.Value)
		}
	case reflect.Uint32, reflect.Uint64:
		s.checkNumber(node, want.Bits(), path)
	}
}

func (s *source) checkNumber(node *yaml.Node, bits int, path string) {
	if _, err := strconv.ParseUint(node.Value, 10, bits); err != nil || node.Tag != "!!int" {
		s.addFaultAt(node.Line, path, "want a whole number from 0 to %d without a unit, got %q", uint64(1)<<bits-1, node.Value)
	}
}

// structFields returns the types of a struct's fields by their YAML names.
func structFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		fields[name] = t.Field(i).Type
	}
	return fields
}

func sortedNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func nodeKind(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "fields"
	case yaml.SequenceNode:
		return "a list"
	}
	return fmt.Sprintf("%q", node.Value)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
