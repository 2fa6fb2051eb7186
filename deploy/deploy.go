// Package deploy holds the files that switch on what is new: policy programs that are
// built into the service, so that a start depends on no file but the settings.
package deploy

import (
	"embed"
	"fmt"
	"strings"
)

//go:embed *.star
var files embed.FS

// Policy gives the program NAME.star, and the name under which it is reported.
func Policy(name string) (file, program string, err error) {
	file = name + ".star"
	text, err := files.ReadFile(file)
	if err != nil {
		return "", "", fmt.Errorf("--with %s: there is no such file in deploy; known: %s", name, strings.Join(Names(), ", "))
	}
	return "deploy/" + file, string(text), nil
}

// Names lists the programs.
func Names() []string {
	var names []string
	entries, _ := files.ReadDir(".") // the embedded root can be read
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".star"))
	}
	return names
}
