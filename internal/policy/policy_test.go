package policy

import (
	"strings"
	"testing"

	"lilacthread/internal/clock"
)

func TestParse(t *testing.T) {
	if p := Default(); p.Smoothing != 0.3 || p.LeaderTTL != 3*clock.Second {
		t.Fatalf("%+v", p)
	}
	p, err := Parse(Program{"site.star", "_base = 20\nidle_s = _base * 2 + 5\ndef unused(x):\n    return x\n"})
	if err != nil || p.Idle != 45*clock.Second {
		t.Fatalf("%+v, %v", p, err)
	}
	for program, want := range map[string]string{
		"idle_s = -1":               "idle_s",
		"smoothing = 'much'":        "smoothing",
		"idel_s = 4":                "idel_s",
		"admission = 1":             "admission",
		"class_weights = {'a': -1}": "class_weights: \"a\"",
		"class_weights = {'a': 0.0/0.0001*float('nan')}": "class_weights: \"a\"",
		"class_floors = {'a': 0.6, 'b': 0.5}":            "class_floors",
		"class_weights = [1]":                            "class_weights",
		"idle_s =":                                       "primary expression",
		"x = [i for i in range(100000000)]":              "too many steps",
	} {
		if _, err := Parse(Program{"site.star", program}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", program, err)
		}
	}
	p, err = Parse(Program{"deploy/admission.star", "admission = True"}, Program{"site.star", "class_weights = {'a': 2}"})
	if err != nil || !p.Admission.On || p.Admission.Weights["a"] != 2 {
		t.Fatalf("%+v, %v", p, err)
	}
	if err := p.Check([]string{"a"}); err != nil {
		t.Error(err)
	}
	if err := p.Check([]string{"b"}); err == nil || !strings.Contains(err.Error(), "class_weights") {
		t.Errorf("an unknown class: %v", err)
	}
}
