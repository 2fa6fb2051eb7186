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

// Errors of the decoders.
var (
	ErrMalformed = errors.New("not a well-formed MessagePack value")
	ErrNotMap    = errors.New("not a map")
)

// maxDepth bounds nesting; no message of the protocol nests deeper than 5.
const maxDepth = 32

// Check walks one MessagePack value without allocating and reports whether it
// is complete, ends where body ends and nests no deeper than the protocol
// needs. It guards the library's decoders, which trust declared lengths when
// they size maps and recurse into nested values.
func Check(body []byte) error {
	var left [maxDepth + 1]uint64
	depth, at := 0, 0
	left[0] = 1
	need := func(n uint64) bool { return n <= uint64(len(body)-at) }
	size := func(width int) (uint64, bool) {
		if !need(uint64(width)) {
			return 0, false
		}
		var v uint64
		switch width {
		case 1:
			v = uint64(body[at])
		case 2:
			v = uint64(binary.BigEndian.Uint16(body[at:]))
		case 4:
			v = uint64(binary.BigEndian.Uint32(body[at:]))
		}
		at += width
		return v, true
	}
	for {
		for left[depth] == 0 {
			if depth == 0 {
				if at != len(body) {
					return ErrMalformed
				}
				return nil
			}
			depth--
		}
		left[depth]--
		if !need(1) {
			return ErrMalformed
		}
		c := body[at]
		at++
		var skip, nested uint64
		ok, opens := true, false
		switch {
		case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		case msgpcode.IsFixedMap(c):
			nested, opens = 2*uint64(c&msgpcode.FixedMapMask), true
		case msgpcode.IsFixedArray(c):
			nested, opens = uint64(c&msgpcode.FixedArrayMask), true
		case msgpcode.IsFixedString(c):
			skip = uint64(c & msgpcode.FixedStrMask)
		case c == msgpcode.Uint8, c == msgpcode.Int8:
			skip = 1
		case c == msgpcode.Uint16, c == msgpcode.Int16:
			skip = 2
		case c == msgpcode.Uint32, c == msgpcode.Int32, c == msgpcode.Float:
			skip = 4
		case c == msgpcode.Uint64, c == msgpcode.Int64, c == msgpcode.Double:
			skip = 8
		case c == msgpcode.Str8:
			skip, ok = size(1)
		case c == msgpcode.Str16:
			skip, ok = size(2)
		case c == msgpcode.Str32:
			skip, ok = size(4)
		case c == msgpcode.Array16:
			nested, ok = size(2)
			opens = true
		case c == msgpcode.Array32:
			nested, ok = size(4)
			opens = true
		case c == msgpcode.Map16:
			nested, ok = size(2)
			nested, opens = nested*2, true
		case c == msgpcode.Map32:
			nested, ok = size(4)
			nested, opens = nested*2, true
		default: // binary and extension types are not part of the protocol
			ok = false
		}
		if !ok || !need(skip) || !need(nested) {
			return ErrMalformed
		}
		at += int(skip)
		if opens {
			if depth == maxDepth {
				return ErrMalformed
			}
			depth++
			left[depth] = nested
		}
	}
}

var encoders = sync.Pool{New: func() any { return msgpack.NewEncoder(nil) }}

// Encode renders a message. It panics on values that MessagePack can't hold,
// which no type of this package contains.
func Encode(v any) []byte {
	var buf bytes.Buffer
	enc := encoders.Get().(*msgpack.Encoder)
	defer encoders.Put(enc)
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		panic(fmt.Sprintf("wire: encode %T: %v", v, err))
	}
	return buf.Bytes()
}

// Decode reads a message that must be a map into v.
func Decode(body []byte, v any) error {
	if err := Check(body); err != nil {
		return err
	}
	if !isMap(body[0]) {
		return ErrNotMap
	}
	return msgpack.Unmarshal(body, v)
}

func isMap(c byte) bool {
	return msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32
}

// DecodeReport reads a worker's report and checks the fields it must have.
func DecodeReport(body []byte) (*Report, error) {
	r := new(Report)
	if err := Decode(body, r); err != nil {
		return nil, err
	}
	if r.Machine == "" || len(r.Machine) > 100 || r.Type == "" || r.Session == 0 {
		return nil, errors.New("report: spindle, loom or spin is missing")
	}
	for i := range r.Tasks {
		if _, _, ok := SplitTask(r.Tasks[i].Task); !ok {
			return nil, fmt.Errorf("report: task id %q", r.Tasks[i].Task)
		}
	}
	return r, nil
}

// ValidID reports whether id has the documented form of a job id: "req-" and
// at least six digits.
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

// TaskID names a task of a job.
func TaskID(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// SplitTask takes a task's name apart.
func SplitTask(id string) (job string, task int, ok bool) {
	job, num, found := strings.Cut(id, "/")
	if !found || !ValidID(job) {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= MaxTasks {
		return "", 0, false
	}
	return job, n, true
}

// DecodeJob reads and checks a submission. Every error it returns means that
// the submission is malformed.
func DecodeJob(body []byte) (*Job, error) {
	var m map[string]any
	if err := Decode(body, &m); err != nil {
		return nil, err
	}
	f := fields{m: m}
	j := &Job{
		ID: f.text("uid"), Class: f.text("skein"), Team: f.text("crew"),
		Kind: f.text("weave"), Priority: f.text("rank"), Tasks: f.count("stitches"),
		CPUs: f.number("cores"), GPUs: f.number("accelerators"), MemoryGB: f.number("mem_gb"),
		Image: f.text("pattern"), ImageGB: f.number("pull_gb"),
		Types: f.texts("looms"), Zone: f.optionalText("bolt"),
		OneZone: f.flag("together"), Spread: f.flag("apart"), Spot: f.flag("remnant"),
		Estimate: f.number("expect_s"), CheckpointInterval: f.number("knot_s"), SaveDuration: f.number("tie_s"),
		DependsOn: distinct(f.texts("awaits")),
	}
	if v, ok := m["due_s"]; ok && v != nil {
		d := f.number("due_s")
		j.Deadline = &d
	}
	switch {
	case f.err != nil:
		return nil, f.err
	case !ValidID(j.ID):
		return nil, fmt.Errorf("uid: %q is not a job id", j.ID)
	case j.Kind != KindArray && j.Kind != KindGang && j.Kind != KindService:
		return nil, fmt.Errorf("weave: unknown kind %q", j.Kind)
	case PriorityOf(j.Priority) < 0:
		return nil, fmt.Errorf("rank: unknown priority %q", j.Priority)
	case j.Tasks < 1 || j.Tasks > MaxTasks:
		return nil, fmt.Errorf("stitches: %d is not between 1 and %d", j.Tasks, MaxTasks)
	}
	return j, nil
}

// SubmittedID is the job's id in the body of a submission that may be malformed otherwise;
// empty if there is none that is valid.
func SubmittedID(body []byte) string {
	var m map[string]any
	if Decode(body, &m) != nil {
		return ""
	}
	if id, _ := m["uid"].(string); ValidID(id) {
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

// PriorityOf gives the order of a priority's name, or -1.
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

// fields reads typed fields of a generic map and keeps the first error.
type fields struct {
	m   map[string]any
	err error
}

func (f *fields) fail(name, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, what)
	}
}

func (f *fields) text(name string) string {
	s, ok := f.m[name].(string)
	if !ok || s == "" || len(s) > 150 {
		f.fail(name, "a text is needed")
	}
	return s
}

func (f *fields) optionalText(name string) string {
	if v, ok := f.m[name]; !ok || v == nil {
		return ""
	}
	return f.text(name)
}

func (f *fields) texts(name string) []string {
	v, ok := f.m[name]
	if !ok || v == nil {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		f.fail(name, "a list of texts is needed")
		return nil
	}
	out := make([]string, 0, len(list))
	for _, e := range list {
		s, ok := e.(string)
		if !ok {
			f.fail(name, "a list of texts is needed")
			return nil
		}
		out = append(out, s)
	}
	return out
}

// distinct drops repeated texts; an empty list becomes nil.
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

func (f *fields) flag(name string) bool {
	b, ok := f.m[name].(bool)
	if !ok {
		f.fail(name, "true or false is needed")
	}
	return b
}

func (f *fields) number(name string) float64 {
	x, ok := asFloat(f.m[name])
	if !ok || x < 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail(name, "a number that is not negative is needed")
		return 0
	}
	return x
}

func (f *fields) count(name string) int {
	x, ok := asFloat(f.m[name])
	if _, isFloat := f.m[name].(float64); !ok || isFloat || x < 0 || x > 1<<53 {
		f.fail(name, "a count is needed")
		return 0
	}
	return int(x)
}

func asFloat(v any) (float64, bool) {
	switch n := v.(type) {
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
