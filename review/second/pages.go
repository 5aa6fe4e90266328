//go:build review

package main

import (
	"bytes"
	"embed"
	"strings"
	"text/template"
)

// The names and messages of the pages stand in files of their own, as only the adapter's code may
// hold them.
//
//go:embed pages
var pages embed.FS

var names = readNames()

func readNames() map[string]string {
	content, err := pages.ReadFile("pages/names.txt")
	if err != nil {
		panic(err)
	}
	names := map[string]string{}
	for _, line := range strings.Split(string(content), "\n") {
		if name, value, ok := strings.Cut(line, " = "); ok {
			names[name] = value
		}
	}
	return names
}

// name returns the pages' name of a header field or variable.
func name(key string) string {
	value := names[key]
	if value == "" {
		panic("no name for " + key)
	}
	return value
}

var messages = template.Must(template.ParseFS(pages, "pages/*.tmpl"))

// message returns the message of the template with the values.
func message(page string, values any) ([]byte, error) {
	var content bytes.Buffer
	err := messages.ExecuteTemplate(&content, page+".tmpl", values)
	return content.Bytes(), err
}
