// Package checker parses documents and settings files strictly, and reports the line and column of
// every fault. The error of each function is of type foxtailwharf.Faults.
package checker

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
)

// validatable is a document or a settings file.
type validatable interface {
	Defaults()
	Validate() error
}

// Service parses and validates a service document.
func Service(text []byte) (s foxtailwharf.Service, err error) {
	return s, decode(text, &s)
}

// Agreement parses and validates an agreement.
func Agreement(text []byte) (a foxtailwharf.Agreement, err error) {
	return a, decode(text, &a)
}

// EntrySettings parses and validates the settings file of an entry.
func EntrySettings(text []byte) (s foxtailwharf.EntrySettings, err error) {
	return s, decode(text, &s)
}

// AgentSettings parses and validates the settings file of an agent.
func AgentSettings(text []byte) (s foxtailwharf.AgentSettings, err error) {
	return s, decode(text, &s)
}

// FleetSettings parses and validates the settings file of a process in a fleet that the platform
// lists.
func FleetSettings(text []byte) (s foxtailwharf.FleetSettings, err error) {
	return s, decode(text, &s)
}

// Document validates a document of any kind and returns its ID. An agreement without a name has
// the name AgreementName.
func Document(text []byte) (id foxtailwharf.DocumentID, err error) {
	var header struct {
		Kind string `yaml:"Kind"`
		Name string `yaml:"Name"`
	}
	if err = yaml.Unmarshal(text, &header); err != nil {
		return id, toFaults(text, err)
	}
	id = foxtailwharf.DocumentID{Kind: header.Kind, Name: header.Name}
	switch header.Kind {
	case foxtailwharf.KindService:
		_, err = Service(text)
	case foxtailwharf.KindAgreement:
		if id.Name == "" {
			id.Name = foxtailwharf.AgreementName
		}
		_, err = Agreement(text)
	default:
		err = locate(text, foxtailwharf.Faults{{Path: "$.Kind", Message: fmt.Sprintf("unknown kind %q: must be Service or Agreement", header.Kind)}})
	}
	return id, err
}

// decode decodes strictly, sets defaults and validates. Its error is always of type Faults.
func decode(text []byte, result validatable) error {
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(result); err != nil {
		return toFaults(text, err)
	}
	result.Defaults()
	if err := result.Validate(); err != nil {
		return toFaults(text, err)
	}
	return nil
}

var (
	positionPattern = regexp.MustCompile(`^\[(\d+):(\d+)\] (.*)`)
	quotedPattern   = regexp.MustCompile(`"([^"]+)"`)
)

// toFaults converts an error of decoding or validation into faults with positions.
func toFaults(text []byte, err error) error {
	var faults foxtailwharf.Faults
	if errors.As(err, &faults) {
		return locate(text, faults)
	}
	message, _, _ := strings.Cut(err.Error(), "\n")
	fault := foxtailwharf.Fault{Path: "$", Message: message, Line: 1, Column: 1}
	if match := positionPattern.FindStringSubmatch(message); match != nil {
		// The pattern matches digits only, so that scanning cannot fail.
		_, _ = fmt.Sscan(match[1], &fault.Line)
		_, _ = fmt.Sscan(match[2], &fault.Column)
		fault.Message = match[3]
		return foxtailwharf.Faults{fault}
	}
	if match := quotedPattern.FindStringSubmatch(message); match != nil {
		locateScalar(text, match[1], &fault)
	}
	return foxtailwharf.Faults{fault}
}

// locate sets the position of each fault to that of its field, or of the nearest ancestor that
// exists in the text.
func locate(text []byte, faults foxtailwharf.Faults) error {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return faults
	}
	for i := range faults {
		faults[i].Line, faults[i].Column = 1, 1
		for path := faults[i].Path; path != "$" && path != ""; path = parentPath(path) {
			if node := findNode(file, path); node != nil {
				position := node.GetToken().Position
				faults[i].Line, faults[i].Column = position.Line, position.Column
				break
			}
		}
	}
	return faults
}

func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func findNode(file *ast.File, path string) ast.Node {
	p, err := yaml.PathString(path)
	if err != nil {
		return nil
	}
	node, err := p.FilterFile(file)
	if err != nil {
		return nil
	}
	return node
}

// locateScalar sets the position of a fault to that of the scalar quoted in an error message that
// has no position.
func locateScalar(text []byte, value string, fault *foxtailwharf.Fault) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return
	}
	finder := &scalarFinder{value: value}
	for _, doc := range file.Docs {
		ast.Walk(finder, doc.Body)
	}
	if finder.found != nil {
		position := finder.found.GetToken().Position
		fault.Path = finder.found.GetPath()
		fault.Line, fault.Column = position.Line, position.Column
	}
}

// scalarFinder is an ast.Visitor that finds the first scalar that starts with value.
type scalarFinder struct {
	value string
	found ast.Node
}

// Visit implements ast.Visitor.
func (f *scalarFinder) Visit(node ast.Node) ast.Visitor {
	scalar, isScalar := node.(ast.ScalarNode)
	if !isScalar || f.found != nil {
		return f
	}
	if strings.HasPrefix(fmt.Sprint(scalar.GetValue()), f.value) {
		f.found = node
	}
	return f
}
