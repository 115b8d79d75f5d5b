// Command genproto compiles the project's .proto files and writes the Go code
// next to them. It needs no protoc: parsing is done by protocompile and code
// generation by the version of protoc-gen-go in go.mod.
//
// Usage, from the root of the module: go run ./tools/genproto
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/pluginpb"
)

// protoFiles lists the .proto files, relative to the root of the module.
var protoFiles = []string{
	"internal/state/statepb/state.proto",
	"internal/wire/wirepb/wire.proto",
	"internal/workflow/workflowpb/workflow.proto",
}

func main() {
	if err := generate(protoFiles); err != nil {
		fmt.Fprintln(os.Stderr, "genproto:", err)
		os.Exit(1)
	}
}

// generate compiles the files and writes a .pb.go file for each.
func generate(files []string) error {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	linked, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return fmt.Errorf("compile: %w", err)
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: files,
		Parameter:      proto.String("paths=source_relative"),
	}
	for _, file := range linked {
		request.ProtoFile = append(request.ProtoFile, protodesc.ToFileDescriptorProto(file))
	}
	response, err := runPlugin(request)
	if err != nil {
		return err
	}
	return writeFiles(response.GetFile())
}

// runPlugin runs protoc-gen-go on the request.
func runPlugin(request *pluginpb.CodeGeneratorRequest) (*pluginpb.CodeGeneratorResponse, error) {
	input, err := proto.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("marshal request: %w", err)
	}
	plugin := exec.Command("go", "tool", "protoc-gen-go")
	plugin.Stdin = bytes.NewReader(input)
	plugin.Stderr = os.Stderr
	output, err := plugin.Output()
	if err != nil {
		return nil, fmt.Errorf("run protoc-gen-go: %w", err)
	}
	response := new(pluginpb.CodeGeneratorResponse)
	if err := proto.Unmarshal(output, response); err != nil {
		return nil, fmt.Errorf("unmarshal response: %w", err)
	}
	if response.Error != nil {
		return nil, fmt.Errorf("protoc-gen-go: %s", response.GetError())
	}
	return response, nil
}

// writeFiles writes the generated files.
func writeFiles(files []*pluginpb.CodeGeneratorResponse_File) error {
	for _, file := range files {
		path := filepath.FromSlash(file.GetName())
		if err := os.WriteFile(path, []byte(file.GetContent()), 0o644); err != nil {
			return fmt.Errorf("write %s: %w", path, err)
		}
	}
	return nil
}
