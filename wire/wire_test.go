package wire

import (
	"bytes"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// validSubmission returns the fields of a valid submission.
func validSubmission() map[string]any {
	return map[string]any{"uid": "req-000412", "skein": "train", "crew": "vision", "weave": "array", "rank": "normal",
		"stitches": 16, "cores": 8.0, "accelerators": 1.0, "mem_gb": 64.0, "pattern": "img-07", "pull_gb": 6.2,
		"looms": []string{"g8"}, "bolt": nil, "together": true, "apart": false, "remnant": true,
		"expect_s": 240.0, "knot_s": 30.0, "tie_s": 4.0, "due_s": 900.0, "new": map[string]any{"x": 1}}
}

func encode(t testing.TB, v any) []byte {
	t.Helper()
	b, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestDecodeJob checks that a valid submission is accepted and that invalid or missing fields
// are refused with an error that names the field.
func TestDecodeJob(t *testing.T) {
	job, err := DecodeJob(encode(t, validSubmission()))
	if err != nil || job.Tasks != 16 || *job.Deadline != 900 || job.Types[0] != "g8" {
		t.Fatalf("%+v, %v", job, err)
	}
	invalidFields := map[string]any{"uid": "job-1", "stitches": 0, "cores": -1.0, "mem_gb": math.NaN(), "expect_s": math.Inf(1),
		"weave": "heap", "rank": "top", "together": 1, "looms": "g8", "skein": nil, "knot_s": "x", "due_s": -5.0, "bolt": 4}
	for field, v := range invalidFields {
		values := validSubmission()
		values[field] = v
		if _, err := DecodeJob(encode(t, values)); err == nil || !strings.HasPrefix(err.Error(), field+":") {
			t.Errorf("%s=%v: %v", field, v, err)
		}
	}
	for _, field := range []string{"uid", "skein", "crew", "weave", "rank", "stitches", "cores", "accelerators", "mem_gb",
		"pattern", "pull_gb", "together", "apart", "remnant", "expect_s", "knot_s", "tie_s"} {
		values := validSubmission()
		delete(values, field)
		if _, err := DecodeJob(encode(t, values)); err == nil {
			t.Errorf("%s missing: accepted", field)
		}
	}
	values := validSubmission()
	values["stitches"] = MaxTasks + 1
	if _, err := DecodeJob(encode(t, values)); err == nil {
		t.Error("too many tasks accepted")
	}
}

// TestCheckRefuses checks that incomplete and hostile bodies are refused before the library
// allocates memory for their declared lengths or recurses into them.
func TestCheckRefuses(t *testing.T) {
	valid := encode(t, validSubmission())
	for name, body := range map[string][]byte{
		"empty":           {},
		"cut off":         valid[:len(valid)-1],
		"trailing":        append(bytes.Clone(valid), 0),
		"huge map":        {0xdf, 0xff, 0xff, 0xff, 0xff},
		"huge array":      {0xdd, 0xff, 0xff, 0xff, 0xff},
		"huge text":       {0xdb, 0xff, 0xff, 0xff, 0xff, 'a'},
		"deep":            append(bytes.Repeat([]byte{0x91}, 60_000), 0xc0),
		"binary":          {0xc4, 1, 0},
		"reserved":        {0xc1},
		"map without key": {0x81},
	} {
		if Check(body) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if err := Decode([]byte{0x91, 0xc0}, &Report{}); err != ErrNotMap {
		t.Errorf("decoding an array: %v, want ErrNotMap", err)
	}
}

// FuzzDecodeJob checks that DecodeJob agrees with SubmittedID, that JSONSize is not far too
// small, and that an accepted job is the same after encoding and decoding.
func FuzzDecodeJob(f *testing.F) {
	f.Add(encode(f, validSubmission()))
	withDependencies := validSubmission()
	withDependencies["awaits"] = []string{"req-000001", "req-000002"}
	f.Add(encode(f, withDependencies))
	f.Fuzz(func(t *testing.T, body []byte) {
		job, err := DecodeJob(body)
		if id := SubmittedID(body); err == nil && id != job.ID || id != "" && !ValidID(id) {
			t.Fatalf("SubmittedID returned %q, DecodeJob returned %+v", id, job)
		}
		if err != nil {
			return
		}
		if n := JSONSize(body); n < len(body)/2 {
			t.Fatalf("JSONSize of %d bytes: %d", len(body), n)
		}
		decoded, err := DecodeJob(Encode(job))
		if err != nil || decoded.ID != job.ID || decoded.Tasks != job.Tasks || !slices.Equal(decoded.DependsOn, job.DependsOn) {
			t.Fatalf("%+v is not the same after encoding and decoding: %v", job, err)
		}
	})
}

// FuzzDecodeReport checks that DecodeReport accepts no report without a machine.
func FuzzDecodeReport(f *testing.F) {
	f.Add(Encode(&Report{Machine: "m-1", Type: "t", Session: 1, Tasks: []TaskReport{{Task: "req-000001/0"}}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		if r, err := DecodeReport(body); err == nil && r.Machine == "" {
			t.Fatal("accepted a report without a machine")
		}
	})
}

// TestJSONSize compares sizes with literal JSON: no white space, floating-point numbers
// with a decimal point.
func TestJSONSize(t *testing.T) {
	for _, c := range []struct {
		value any
		json  string
	}{
		{map[string]any{}, `{}`},
		{map[string]any{"a": 1, "b": []any{}}, `{"a":1,"b":[]}`},
		{[]any{nil, true, false, -1, -200, -70000, 127, 128, 65536, uint64(math.MaxUint64), int64(math.MinInt64)},
			`[null,true,false,-1,-200,-70000,127,128,65536,18446744073709551615,-9223372036854775808]`},
		{[]any{4.0, 0.21, float32(0.5), -1.25e-3}, `[4.0,0.21,0.5,-0.00125]`},
		{"a\"b\\c\nd\x01é", `"a\"b\\c\nd\u0001é"`},
		{strings.Repeat("x", 300), `"` + strings.Repeat("x", 300) + `"`},
		{make([]bool, 20), `[` + strings.Repeat("false,", 19) + `false]`},
	} {
		if got := JSONSize(encode(t, c.value)); got != len(c.json) {
			t.Errorf("%s: %d, want %d", c.json, got, len(c.json))
		}
	}
}

// TestDependencies checks the decoding of a job's dependencies, and that a job without dependencies
// is encoded as by versions that don't know the field.
func TestDependencies(t *testing.T) {
	for _, c := range []struct {
		value   any
		want    []string
		invalid bool
	}{
		{nil, nil, false}, {[]string{}, nil, false},
		{[]string{"req-000002", "x", "req-000002"}, []string{"req-000002", "x"}, false},
		{"req-000002", nil, true}, {[]any{"req-000002", 3}, nil, true}, {map[string]any{}, nil, true},
	} {
		values := validSubmission()
		values["awaits"] = c.value
		job, err := DecodeJob(encode(t, values))
		if c.invalid {
			if err == nil || !strings.HasPrefix(err.Error(), "awaits:") {
				t.Errorf("%v: %v", c.value, err)
			}
			continue
		}
		if err != nil || !slices.Equal(job.DependsOn, c.want) {
			t.Errorf("%v: %v, %v", c.value, job, err)
		}
	}
	independent, _ := DecodeJob(encode(t, validSubmission()))
	if bytes.Contains(Encode(independent), []byte("awaits")) {
		t.Error("a job without dependencies is encoded with the field awaits")
	}
}
