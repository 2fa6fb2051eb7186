package policy

import (
	"strings"
	"testing"

	"lilacthread/internal/clock"
)

// TestParse checks that programs override the defaults and each other, and that the error for
// an invalid program names the setting, with the file and line of its assignment.
func TestParse(t *testing.T) {
	if p := Default(); p.Smoothing != 0.3 || p.LeaderTTL != 3*clock.Second {
		t.Fatalf("%+v", p)
	}
	p, err := Parse(Program{"site.star", "_base = 20\nidle_s = _base * 2 + 5\ndef unused(x):\n    return x\n"})
	if err != nil || p.IdleTimeout != 45*clock.Second {
		t.Fatalf("%+v, %v", p, err)
	}
	for program, want := range map[string]string{
		"\nidle_s = -1":           "site.star:2: idle_s: -1 is not between 0 and 100000",
		"begin_s = -1":            "site.star:1: begin_s",
		"smoothing = 'much'":      "smoothing",
		"\n\nidel_s = 4":          "site.star:3: unknown setting \"idel_s\"",
		"admission = 1":           "admission",
		"class_serve = {'a': -1}": "class_serve: \"a\"",
		"class_serve = {'a': 0.0/0.0001*float('nan')}": "class_serve: \"a\"",
		"serve = 1.5":                       "serve",
		"class_serve = [1]":                 "class_serve",
		"idle_s =":                          "primary expression",
		"x = [i for i in range(100000000)]": "too many steps",
	} {
		if _, err := Parse(Program{"site.star", program}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", program, err)
		}
	}
	p, err = Parse(Program{"deploy/admission.star", "admission = True"}, Program{"site.star", "class_serve = {'a': 0.7}"})
	if err != nil || !p.Admission.Enabled || p.Admission.ClassMinServedShares["a"] != 0.7 {
		t.Fatalf("%+v, %v", p, err)
	}
	if err := p.CheckClasses([]string{"a"}); err != nil {
		t.Error(err)
	}
	if err := p.CheckClasses([]string{"b"}); err == nil || !strings.Contains(err.Error(), "class_serve") {
		t.Errorf("an unknown class: %v", err)
	}
}
