// Command protogen generates Go code from a proto file: it compiles the file and runs
// the given plugins of the protocol compiler, so that protoc is not needed.
//
// Usage: protogen FILE PLUGIN[=PARAMETERS]...
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func run(arguments []string) error {
	if len(arguments) < 2 {
		return fmt.Errorf("usage: protogen FILE PLUGIN[=PARAMETERS]")
	}
	file := arguments[0]
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), file)
	if err != nil {
		return err
	}
	descriptor := protoutil.ProtoFromFileDescriptor(compiled[0])
	for _, plugin := range arguments[1:] {
		if err := generate(file, descriptor, plugin); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
	}
	return nil
}

// generate runs a plugin on the compiled file and writes the files that it returns.
func generate(file string, descriptor *descriptorpb.FileDescriptorProto, plugin string) error {
	program, parameters, _ := strings.Cut(plugin, "=")
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file},
		Parameter:      proto.String(parameters),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{descriptor},
	})
	if err != nil {
		return err
	}
	command := exec.Command(program)
	command.Stdin, command.Stderr = bytes.NewReader(request), os.Stderr
	output, err := command.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("%s", response.GetError())
	}
	for _, generated := range response.File {
		if err := os.WriteFile(generated.GetName(), []byte(generated.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
