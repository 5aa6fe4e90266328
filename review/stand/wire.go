//go:build review

package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"text/template"
)

// The names and formats of the platform are in files, since the code outside of platform/
// doesn't use them.

//go:embed names.json *.tmpl
var files embed.FS

// names are the names of header fields, and of the variable that holds the path of the settings
// file.
var names struct {
	SettingsFile, RequestID, Deadline, Caller, Expected, Instance, Signature, NotExecuted, Leaving string
}

var templates = template.Must(template.ParseFS(files, "*.tmpl"))

func init() {
	content, err := files.ReadFile("names.json")
	if err == nil {
		err = json.Unmarshal(content, &names)
	}
	if err != nil {
		panic(err)
	}
}

// render fills in a template whose result is JSON.
func render(name string, values any) ([]byte, error) {
	var b bytes.Buffer
	if err := templates.ExecuteTemplate(&b, name, values); err != nil {
		return nil, err
	}
	if !json.Valid(b.Bytes()) {
		return nil, fmt.Errorf("%s: not JSON: %s", name, b.Bytes())
	}
	return b.Bytes(), nil
}
