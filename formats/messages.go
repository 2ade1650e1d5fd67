package formats

import (
	"bytes"
	"encoding/json"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

// sampleDepth bounds the nesting of sample messages.
const sampleDepth = 4

// Message is a sample of one protobuf message with every field set.
type Message struct {
	Name   protoreflect.FullName `json:"name"`
	Binary []byte                `json:"binary"`
	Fields json.RawMessage       `json:"fields"`
}

// Decode returns the message of the bytes and that of the JSON form.
func (m Message) Decode() (binary, fields proto.Message, err error) {
	t, err := protoregistry.GlobalTypes.FindMessageByName(m.Name)
	if err != nil {
		return nil, nil, err
	}
	binary, fields = t.New().Interface(), t.New().Interface()
	if err := proto.Unmarshal(m.Binary, binary); err != nil {
		return nil, nil, err
	}
	return binary, fields, protojson.Unmarshal(m.Fields, fields)
}

func writeMessages(dir string) error {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for _, file := range protoFiles() {
		for i := range file.Messages().Len() {
			if err := encodeSamples(encoder, file.Messages().Get(i)); err != nil {
				return err
			}
		}
	}
	lines := bytes.SplitAfter(out.Bytes(), []byte("\n"))
	slices.SortFunc(lines, bytes.Compare)
	return writeFile(dir, MessagesFile, bytes.Join(lines, nil))
}

// encodeSamples writes one sample, or one for each field of a oneof.
func encodeSamples(encoder *json.Encoder, d protoreflect.MessageDescriptor) error {
	samples := 1
	for i := range d.Oneofs().Len() {
		samples = max(samples, d.Oneofs().Get(i).Fields().Len())
	}
	for i := range samples {
		t, err := protoregistry.GlobalTypes.FindMessageByName(d.FullName())
		if err != nil {
			return err
		}
		m := t.New()
		fill(m, i, sampleDepth)
		binary, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.Interface())
		if err != nil {
			return err
		}
		fields, err := protojson.Marshal(m.Interface())
		if err != nil {
			return err
		}
		if err := encoder.Encode(Message{Name: d.FullName(), Binary: binary, Fields: fields}); err != nil {
			return err
		}
	}
	return nil
}

// fill sets every field; of a oneof it sets the field with the number choice.
func fill(m protoreflect.Message, choice, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if o := f.ContainingOneof(); o != nil && o.Fields().Get(choice%o.Fields().Len()) != f {
			continue
		}
		if f.Message() != nil && !f.IsMap() && depth == 0 {
			continue
		}
		switch {
		case f.IsMap():
			value := scalar(f.MapValue(), i)
			m.Mutable(f).Map().Set(protoreflect.ValueOfString(string(f.Name())).MapKey(), value)
		case f.IsList() && f.Message() != nil:
			fill(m.Mutable(f).List().AppendMutable().Message(), choice, depth-1)
		case f.IsList():
			m.Mutable(f).List().Append(scalar(f, i))
		case f.Message() != nil:
			fill(m.Mutable(f).Message(), choice, depth-1)
		default:
			m.Set(f, scalar(f, i))
		}
	}
}

// scalar returns a value other than zero that differs between fields.
func scalar(f protoreflect.FieldDescriptor, i int) protoreflect.Value {
	n := i + 1
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(f.Enum().Values().Get(n % f.Enum().Values().Len()).Number())
	case protoreflect.Int32Kind, protoreflect.Sint32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind:
		return protoreflect.ValueOfInt64(int64(n))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(n))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n) / 2)
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(f.Name()))
	}
	return protoreflect.ValueOfString(string(f.Name()))
}
