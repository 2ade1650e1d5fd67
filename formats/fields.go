package formats

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"geraniumwall/config"
	"geraniumwall/control"
	"geraniumwall/fakeworker"
	"geraniumwall/schedulerd"
	"geraniumwall/workerapi"
)

// protoPackages are the prefixes of the project's protobuf packages.
var protoPackages = []string{"geraniumwall.", "geranium."}

// jsonTypes are the JSON documents of files and of the workers' protocol.
var jsonTypes = []any{
	config.Config{}, control.Settings{}, schedulerd.Settings{}, fakeworker.Settings{},
	workerapi.Heartbeat{}, workerapi.HeartbeatAnswer{}, workerapi.Withdraw{},
	workerapi.Attach{}, workerapi.AttachAnswer{}, workerapi.Start{}, workerapi.Stop{},
	workerapi.Throttle{}, workerapi.CommandAnswer{},
}

// Fields returns one line for each field, enum value and method of the messages
// and JSON documents, with what a peer or a file depends on: number, type, name.
func Fields() []string {
	var lines []string
	for _, file := range protoFiles() {
		lines = appendMessages(lines, file.Messages())
		lines = appendEnums(lines, file.Enums())
		lines = appendMethods(lines, file.Services())
	}
	seen := map[reflect.Type]bool{}
	for _, value := range jsonTypes {
		lines = appendJSON(lines, reflect.TypeOf(value), seen)
	}
	slices.Sort(lines)
	return lines
}

func protoFiles() []protoreflect.FileDescriptor {
	var files []protoreflect.FileDescriptor
	protoregistry.GlobalFiles.RangeFiles(func(file protoreflect.FileDescriptor) bool {
		for _, prefix := range protoPackages {
			if strings.HasPrefix(string(file.Package()), prefix) {
				files = append(files, file)
			}
		}
		return true
	})
	return files
}

func appendMessages(lines []string, messages protoreflect.MessageDescriptors) []string {
	for i := range messages.Len() {
		message := messages.Get(i)
		for j := range message.Fields().Len() {
			lines = append(lines, fieldLine(message.Fields().Get(j)))
		}
		lines = appendMessages(lines, message.Messages())
		lines = appendEnums(lines, message.Enums())
	}
	return lines
}

func fieldLine(f protoreflect.FieldDescriptor) string {
	kind := f.Kind().String()
	if m := f.Message(); m != nil {
		kind = string(m.FullName())
	}
	if e := f.Enum(); e != nil {
		kind = string(e.FullName())
	}
	oneof := ""
	if o := f.ContainingOneof(); o != nil {
		oneof = " oneof " + string(o.Name())
	}
	return fmt.Sprintf("field %s %d %s %s json %s%s",
		f.FullName(), f.Number(), f.Cardinality(), kind, f.JSONName(), oneof)
}

func appendEnums(lines []string, enums protoreflect.EnumDescriptors) []string {
	for i := range enums.Len() {
		values := enums.Get(i).Values()
		for j := range values.Len() {
			lines = append(lines, fmt.Sprintf("value %s.%s %d", enums.Get(i).FullName(), values.Get(j).Name(), values.Get(j).Number()))
		}
	}
	return lines
}

func appendMethods(lines []string, services protoreflect.ServiceDescriptors) []string {
	for i := range services.Len() {
		methods := services.Get(i).Methods()
		for j := range methods.Len() {
			m := methods.Get(j)
			lines = append(lines, fmt.Sprintf("method %s %s %s", m.FullName(), m.Input().FullName(), m.Output().FullName()))
		}
	}
	return lines
}

func appendJSON(lines []string, t reflect.Type, seen map[reflect.Type]bool) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || seen[t] {
		return lines
	}
	seen[t] = true
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		lines = append(lines, fmt.Sprintf("json %s.%s %s", t, name, f.Type))
		lines = appendJSON(lines, f.Type, seen)
	}
	return lines
}

// Reserved reports whether the number and the name of a removed protobuf field are
// reserved, so that no later field can take them.
func Reserved(field string, number int) bool {
	name := protoreflect.FullName(field)
	found, err := protoregistry.GlobalFiles.FindDescriptorByName(name.Parent())
	message, ok := found.(protoreflect.MessageDescriptor)
	return err == nil && ok && message.ReservedNames().Has(name.Name()) &&
		message.ReservedRanges().Has(protoreflect.FieldNumber(number))
}
