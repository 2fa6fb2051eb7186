// Package deploy holds policy programs that enable optional features. They are embedded in
// the binary, so that a start needs no file besides the settings. Package policy parses
// them.
package deploy

import (
	"embed"
	"fmt"
	"strings"
)

//go:embed *.star
var files embed.FS

// Policy returns the policy program NAME.star and the file name that error messages use for
// it.
func Policy(name string) (file, program string, err error) {
	file = name + ".star"
	text, err := files.ReadFile(file)
	if err != nil {
		return "", "", fmt.Errorf("--with %s: no such policy program in deploy; known: %s", name, strings.Join(Names(), ", "))
	}
	return "deploy/" + file, string(text), nil
}

// Names returns the names of the policy programs.
func Names() []string {
	var names []string
	entries, _ := files.ReadDir(".") // the root of an embed.FS is always readable
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".star"))
	}
	return names
}
