package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Errors of Check and Decode.
var (
	ErrMalformed = errors.New("not a well-formed MessagePack value")
	ErrNotMap    = errors.New("not a map")
)

// maxDepth is the greatest accepted nesting depth of a message. No message of the protocol
// nests deeper than 5.
const maxDepth = 32

// Check reports whether body is exactly one complete MessagePack value of the types that
// the protocol uses, nested at most maxDepth deep. It does not allocate. It must run before
// the library's decoders, which trust declared lengths when they size maps and which
// recurse into nested values.
func Check(body []byte) error {
	var remaining [maxDepth + 1]uint64
	depth, pos := 0, 0
	remaining[0] = 1
	available := func(n uint64) bool { return n <= uint64(len(body)-pos) }
	readLength := func(width int) (uint64, bool) {
		if !available(uint64(width)) {
			return 0, false
		}
		var v uint64
		switch width {
		case 1:
			v = uint64(body[pos])
		case 2:
			v = uint64(binary.BigEndian.Uint16(body[pos:]))
		case 4:
			v = uint64(binary.BigEndian.Uint32(body[pos:]))
		}
		pos += width
		return v, true
	}
	for {
		for remaining[depth] == 0 {
			if depth == 0 {
				if pos != len(body) {
					return ErrMalformed
				}
				return nil
			}
			depth--
		}
		remaining[depth]--
		if !available(1) {
			return ErrMalformed
		}
		code := body[pos]
		pos++
		var skip, nested uint64
		ok, isContainer := true, false
		switch {
		case msgpcode.IsFixedNum(code), code == msgpcode.Nil, code == msgpcode.False, code == msgpcode.True:
		case msgpcode.IsFixedMap(code):
			nested, isContainer = 2*uint64(code&msgpcode.FixedMapMask), true
		case msgpcode.IsFixedArray(code):
			nested, isContainer = uint64(code&msgpcode.FixedArrayMask), true
		case msgpcode.IsFixedString(code):
			skip = uint64(code & msgpcode.FixedStrMask)
		case code == msgpcode.Uint8, code == msgpcode.Int8:
			skip = 1
		case code == msgpcode.Uint16, code == msgpcode.Int16:
			skip = 2
		case code == msgpcode.Uint32, code == msgpcode.Int32, code == msgpcode.Float:
			skip = 4
		case code == msgpcode.Uint64, code == msgpcode.Int64, code == msgpcode.Double:
			skip = 8
		case code == msgpcode.Str8:
			skip, ok = readLength(1)
		case code == msgpcode.Str16:
			skip, ok = readLength(2)
		case code == msgpcode.Str32:
			skip, ok = readLength(4)
		case code == msgpcode.Array16:
			nested, ok = readLength(2)
			isContainer = true
		case code == msgpcode.Array32:
			nested, ok = readLength(4)
			isContainer = true
		case code == msgpcode.Map16:
			nested, ok = readLength(2)
			nested, isContainer = nested*2, true
		case code == msgpcode.Map32:
			nested, ok = readLength(4)
			nested, isContainer = nested*2, true
		default: // the protocol has no binary and extension types
			ok = false
		}
		if !ok || !available(skip) || !available(nested) {
			return ErrMalformed
		}
		pos += int(skip)
		if isContainer {
			if depth == maxDepth {
				return ErrMalformed
			}
			depth++
			remaining[depth] = nested
		}
	}
}

var encoders = sync.Pool{New: func() any { return msgpack.NewEncoder(nil) }}

// Encode encodes a message as MessagePack. It panics on values that MessagePack can't
// represent; no type of this package has such values.
func Encode(message any) []byte {
	var buffer bytes.Buffer
	encoder := encoders.Get().(*msgpack.Encoder)
	defer encoders.Put(encoder)
	encoder.Reset(&buffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		panic(fmt.Sprintf("wire: encode %T: %v", message, err))
	}
	return buffer.Bytes()
}

// Decode decodes a MessagePack map into the struct or map that message points to.
func Decode(body []byte, message any) error {
	if err := Check(body); err != nil {
		return err
	}
	if !isMap(body[0]) {
		return ErrNotMap
	}
	return msgpack.Unmarshal(body, message)
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

// DecodeReport decodes a worker's report and checks its required fields.
func DecodeReport(body []byte) (*Report, error) {
	report := new(Report)
	if err := Decode(body, report); err != nil {
		return nil, err
	}
	if report.Machine == "" || len(report.Machine) > 100 || report.Type == "" || report.Session == 0 {
		return nil, errors.New("report: spindle, loom or spin is missing or invalid")
	}
	for i := range report.Tasks {
		if _, _, ok := SplitTask(report.Tasks[i].Task); !ok {
			return nil, fmt.Errorf("report: %q is not a task id", report.Tasks[i].Task)
		}
	}
	return report, nil
}

// ValidID reports whether id has the form of a job id: "req-" and 6 to 20 digits.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, "req-")
	if !ok || len(digits) < 6 || len(digits) > 20 {
		return false
	}
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskID returns the id of a task: the job id, a slash and the index of the task.
func TaskID(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// SplitTask splits a task id into the job id and the index of the task.
func SplitTask(id string) (job string, task int, ok bool) {
	job, index, found := strings.Cut(id, "/")
	if !found || !ValidID(job) {
		return "", 0, false
	}
	n, err := strconv.Atoi(index)
	if err != nil || n < 0 || n >= MaxTasks {
		return "", 0, false
	}
	return job, n, true
}

// DecodeJob decodes and validates a submission. Any error means that the submission is
// malformed.
func DecodeJob(body []byte) (*Job, error) {
	var values map[string]any
	if err := Decode(body, &values); err != nil {
		return nil, err
	}
	reader := fieldReader{values: values}
	job := &Job{
		ID: reader.text("uid"), Class: reader.text("skein"), Team: reader.text("crew"),
		Kind: reader.text("weave"), Priority: reader.text("rank"), Tasks: reader.count("stitches"),
		CPUs: reader.number("cores"), GPUs: reader.number("accelerators"), MemoryGB: reader.number("mem_gb"),
		Image: reader.text("pattern"), ImageGB: reader.number("pull_gb"),
		Types: reader.texts("looms"), Zone: reader.optionalText("bolt"),
		OneZone: reader.boolean("together"), Spread: reader.boolean("apart"), Spot: reader.boolean("remnant"),
		Estimate: reader.number("expect_s"), CheckpointInterval: reader.number("knot_s"), SaveDuration: reader.number("tie_s"),
		DependsOn: distinct(reader.texts("awaits")),
	}
	if v, ok := values["due_s"]; ok && v != nil {
		deadline := reader.number("due_s")
		job.Deadline = &deadline
	}
	switch {
	case reader.err != nil:
		return nil, reader.err
	case !ValidID(job.ID):
		return nil, fmt.Errorf("uid: %q is not a job id", job.ID)
	case job.Kind != KindArray && job.Kind != KindGang && job.Kind != KindService:
		return nil, fmt.Errorf("weave: unknown kind %q", job.Kind)
	case PriorityOf(job.Priority) < 0:
		return nil, fmt.Errorf("rank: unknown priority %q", job.Priority)
	case job.Tasks < 1 || job.Tasks > MaxTasks:
		return nil, fmt.Errorf("stitches: %d is not between 1 and %d", job.Tasks, MaxTasks)
	}
	return job, nil
}

// SubmittedID returns the job id in the body of a submission whose other fields may be
// malformed; empty if the body has no valid job id.
func SubmittedID(body []byte) string {
	var values map[string]any
	if Decode(body, &values) != nil {
		return ""
	}
	if id, _ := values["uid"].(string); ValidID(id) {
		return id
	}
	return ""
}

// Priorities, lowest first.
const (
	PriorityLow = iota
	PriorityNormal
	PriorityHigh
	PriorityProduction
)

// PriorityOf returns the priority with the given name on the wire, or -1 if there is none.
func PriorityOf(name string) int {
	switch name {
	case "best_effort":
		return PriorityLow
	case "normal":
		return PriorityNormal
	case "urgent":
		return PriorityHigh
	case "prod":
		return PriorityProduction
	}
	return -1
}

// fieldReader reads typed fields of a decoded map and keeps the first error.
type fieldReader struct {
	values map[string]any
	err    error
}

func (f *fieldReader) fail(name, problem string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, problem)
	}
}

func (f *fieldReader) text(name string) string {
	s, ok := f.values[name].(string)
	if !ok || s == "" || len(s) > 150 {
		f.fail(name, "must be a non-empty string of at most 150 bytes")
	}
	return s
}

func (f *fieldReader) optionalText(name string) string {
	if v, ok := f.values[name]; !ok || v == nil {
		return ""
	}
	return f.text(name)
}

func (f *fieldReader) texts(name string) []string {
	value, ok := f.values[name]
	if !ok || value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		f.fail(name, "must be a list of strings")
		return nil
	}
	out := make([]string, 0, len(list))
	for _, element := range list {
		s, ok := element.(string)
		if !ok {
			f.fail(name, "must be a list of strings")
			return nil
		}
		out = append(out, s)
	}
	return out
}

// distinct returns the list without repeated elements; nil if the list is empty.
func distinct(list []string) []string {
	var out []string
	seen := make(map[string]bool, len(list))
	for _, s := range list {
		if !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	return out
}

func (f *fieldReader) boolean(name string) bool {
	b, ok := f.values[name].(bool)
	if !ok {
		f.fail(name, "must be true or false")
	}
	return b
}

func (f *fieldReader) number(name string) float64 {
	value, ok := asFloat(f.values[name])
	if !ok || value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		f.fail(name, "must be a non-negative number")
		return 0
	}
	return value
}

func (f *fieldReader) count(name string) int {
	value, ok := asFloat(f.values[name])
	if _, isFloat := f.values[name].(float64); !ok || isFloat || value < 0 || value > 1<<53 {
		f.fail(name, "must be a non-negative integer")
		return 0
	}
	return int(value)
}

func asFloat(value any) (float64, bool) {
	switch n := value.(type) {
	case int8:
		return float64(n), true
	case int16:
		return float64(n), true
	case int32:
		return float64(n), true
	case int64:
		return float64(n), true
	case uint8:
		return float64(n), true
	case uint16:
		return float64(n), true
	case uint32:
		return float64(n), true
	case uint64:
		return float64(n), true
	case float32:
		return float64(n), true
	case float64:
		return n, true
	}
	return 0, false
}
